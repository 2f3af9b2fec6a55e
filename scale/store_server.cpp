#include "scale/store_server.hpp"

namespace martenwall::scale {

namespace {

using nlohmann::json;

constexpr Duration tick_interval = seconds(0.05);
constexpr std::size_t max_store_connections = 4000;

rt::HttpServer::Limits server_limits() {
  rt::HttpServer::Limits limits;
  limits.max_connections = max_store_connections;
  return limits;
}

rt::HttpResponse too_many_requests() { return {429, R"({"error":"too many requests"})", {}, false}; }

}  // namespace

StoreServer::StoreServer(rt::Loop& loop, StorePlan plan)
    : loop_(loop),
      plan_(std::move(plan)),
      model_(plan_.limits),
      changed_(loop),
      server_(loop, *rt::Endpoint::parse(plan_.listen), server_limits(),
              [this](rt::HttpMessage m) { return handle(std::move(m)); }),
      control_(loop, *rt::Endpoint::parse(plan_.control), {},
               [this](rt::HttpMessage m) { return control(std::move(m)); }) {}

void StoreServer::run() {
  rt::spawn(server_.serve());
  rt::spawn(control_.serve());
  rt::spawn(tick_loop());
}

rt::Task<void> StoreServer::tick_loop() {
  for (;;) {
    const auto before = model_.changes();
    model_.tick(loop_.update_time());
    if (model_.changes() != before) changed_.notify();
    co_await loop_.sleep(tick_interval);
  }
}

rt::Task<rt::HttpResponse> StoreServer::handle(rt::HttpMessage request) {
  ++counts_.requests;
  counts_.bytes_in += request.body.size();
  if (!model_.admit_request(loop_.update_time())) {
    ++counts_.refused;
    co_return too_many_requests();
  }
  if (plan_.latency > Duration{0}) co_await loop_.sleep(plan_.latency);
  if (request.target.starts_with("/watch")) co_return co_await watch(std::move(request.target));
  if (request.target != "/multi") {
    auto reply = model_.answer(request.method, request.target, request.body, loop_.update_time());
    counts_.bytes_out += reply.body.size();
    co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
  }
  const json txn = json::parse(request.body);
  if (!model_.admit_changes(txn.at("then").size(), loop_.now())) {
    ++counts_.refused;
    co_return too_many_requests();
  }
  auto reply = model_.commit(txn, loop_.update_time());
  if (!txn.at("then").empty()) ++(reply.status == 200 ? counts_.transactions : counts_.conflicts);
  changed_.notify();
  co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
}

rt::Task<rt::HttpResponse> StoreServer::watch(std::string target) {
  const auto watch = stand_ins::StoreModel::parse_watch(target);
  const Time until = loop_.now() + watch.hold;
  for (;;) {
    auto response = model_.poll_watch(watch, loop_.now() >= until);
    if (response) co_return rt::HttpResponse{response->status, std::move(response->body), {}, false};
    co_await changed_.wait(until);
  }
}

// Serves the requests of the scale run itself, which are neither limited nor counted.
rt::Task<rt::HttpResponse> StoreServer::control(rt::HttpMessage request) {
  if (request.target == "/counters") {
    const json counters{{"requests", counts_.requests},         {"refused", counts_.refused},
                        {"transactions", counts_.transactions}, {"conflicts", counts_.conflicts},
                        {"changes", model_.changes()},          {"rows", model_.rows()},
                        {"bytes_in", counts_.bytes_in},         {"bytes_out", counts_.bytes_out}};
    co_return rt::HttpResponse{200, counters.dump(), {}, false};
  }
  auto reply = model_.answer(request.method, request.target, request.body, loop_.update_time());
  co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
}

}  // namespace martenwall::scale
