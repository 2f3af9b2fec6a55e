#include "service/user_service.hpp"

#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {

rt::HttpResponse later(const char* why) { return {503, wire::encode_error(why), 1, false}; }

rt::HttpResponse answer(int status, const JobStatus& s) { return {status, wire::encode_status(s), {}, false}; }

}  // namespace

bool UserService::healthy() const {
  if (ctx_.types.empty()) return false;
  const Duration fresh = seconds(4);
  return ctx_.now() - ctx_.state_ok < fresh || ctx_.now() - ctx_.leader_ok < fresh;
}

UserService::Fit UserService::can_run(const JobSpec& spec, std::string& why) const {
  const Team* team = nullptr;
  for (const auto& t : ctx_.settings.teams) {
    if (t.name == spec.team) team = &t;
  }
  why = "unknown team";
  if (team == nullptr) return Fit::never;
  const auto need = spec.need.times(spec.shape == Shape::array ? 1 : spec.tasks);
  why = "needs more than the team's limit";
  const auto over = [](double limit, double n) { return limit > 0 && n > limit + 1e-6; };
  if (over(team->limit.cpus, need.cpus) || over(team->limit.gpus, need.gpus)) return Fit::never;
  why = "machine types are not known yet";
  if (ctx_.types.empty()) return Fit::unknown;
  why = "a task fits no allowed machine type";
  for (const auto& type : ctx_.types) {
    if (type_allows(spec, type)) return Fit::ok;
  }
  return Fit::never;
}

rt::Task<rt::HttpResponse> UserService::forward(wire::PeerVerb verb, std::string id, std::string body,
                                                Duration timeout) {
  wire::PeerRequest request{verb, std::move(id), std::move(body)};
  const auto reply = co_await peers_->ask_leader(std::move(request), timeout);
  if (!reply) co_return rt::HttpResponse{0, "", {}, false};
  const bool retry = reply->status == 503;
  co_return rt::HttpResponse{reply->status, reply->body, retry ? std::optional{1} : std::nullopt, false};
}

rt::Task<rt::HttpResponse> UserService::submit(std::string body) {
  auto parsed = wire::parse_job(body);
  if (const auto* bad = std::get_if<wire::BadJob>(&parsed)) {
    co_return rt::HttpResponse{400, wire::encode_error(bad->why), {}, false};
  }
  JobSpec spec = std::get<JobSpec>(std::move(parsed));
  std::string why;
  const auto fit = can_run(spec, why);
  if (fit == Fit::unknown) co_return later(why.c_str());
  if (fit == Fit::never) {
    // A job accepted under other settings stays accepted.
    rt::HttpResponse known = co_await read_status(spec.id);
    if (known.status != 404) co_return known;
    co_return rt::HttpResponse{422, wire::encode_error(why), {}, false};
  }
  if (!ctx_.proven() && !ctx_.leader.empty() && ctx_.leader != ctx_.settings.node) {
    rt::HttpResponse r = co_await forward(wire::PeerVerb::submit, spec.id.value(), std::move(body), seconds(1.0));
    if (r.status == 200 || r.status == 201) co_return r;
  }
  co_return co_await accept(std::move(spec), ctx_.proven());
}

rt::Task<rt::HttpResponse> UserService::accept(JobSpec spec, bool as_leader) {
  const auto term = ctx_.term;
  const JobId id = spec.id;
  if (as_leader) {
    const auto known = ctx_.scheduler->status(id);
    if (known) co_return answer(200, *known);
  }
  Job job;
  job.spec = std::move(spec);
  job.submitted = ctx_.now();
  job.submitted_wall_ms = Context::wall_ms();
  std::vector<wire::Condition> when{{wire::job_key(id), Stamp{0}}, {wire::final_key(id), Stamp{0}}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::job_key(id), wire::encode_job_row(job), std::nullopt});
  if (!as_leader) then.push_back({wire::inbox_key(id), wire::json{{"node", ctx_.settings.node}}, std::nullopt});
  const TxnResult r = co_await state_.txn(std::move(when), std::move(then), seconds(1.5));
  if (r.outcome == TxnOutcome::committed) {
    if (as_leader && ctx_.leads(term)) store_.adopt(std::move(job), Stamp{r.revision.value()});
    // A leader that lost its office meanwhile has written without an inbox key; its successor
    // may have loaded before: the job would wait for the next load.
    if (as_leader && !ctx_.leads(term)) {
      std::vector<wire::StoreOp> note;
      note.push_back({wire::inbox_key(id), wire::json{{"node", ctx_.settings.node}}, std::nullopt});
      co_await state_.txn({}, std::move(note), seconds(1.5));
    }
    co_return answer(201, JobStatus{id, JobPhase::pending, 0, 0});
  }
  if (r.outcome == TxnOutcome::refused) co_return later("the state service does not answer");
  // Known already, or the answer was lost: the store tells.
  rt::HttpResponse known = co_await read_status(id);
  if (known.status == 404) co_return later("not known to be stored");
  co_return known;
}

rt::Task<rt::HttpResponse> UserService::read_status(JobId id) {
  // In this order: a job moves from its first key to the second and never back.
  const auto term = ctx_.term;
  const ReadResult active = co_await state_.get(wire::job_key(id), seconds(0.8));
  if (active.outcome == ReadOutcome::failed) co_return later("the state service does not answer");
  if (active.outcome == ReadOutcome::found) {
    auto job = wire::decode_job_row(active.item.value, ctx_.now(), Context::wall_ms());
    if (!job) co_return later("the job's row cannot be read");
    const JobStatus s{id, job->done.count() > 0 ? JobPhase::running : JobPhase::pending, job->done.count(), 0};
    // Written by this leader while it was busy, or by another node: either way it is to run.
    // What was read under an earlier leadership, or before the job's end, may be out of date by now.
    const bool current = ctx_.term == term;
    if (!current || (ctx_.scheduler != nullptr && ctx_.scheduler->was_final(id))) co_return later("read too early");
    if (ctx_.proven()) store_.adopt(std::move(*job), active.item.version);
    co_return answer(200, s);
  }
  const ReadResult ended = co_await state_.get(wire::final_key(id), seconds(0.8));
  if (ended.outcome == ReadOutcome::failed) co_return later("the state service does not answer");
  if (ended.outcome == ReadOutcome::absent)
    co_return rt::HttpResponse{404, wire::encode_error("no such job"), {}, false};
  const auto f = wire::decode_final(id, ended.item.value);
  if (!f) co_return later("the job's row cannot be read");
  co_return answer(200, JobStatus{id, f->phase, f->done, 0});
}

rt::Task<rt::HttpResponse> UserService::status(std::string id) {
  if (!wire::valid_job_id(id)) co_return rt::HttpResponse{404, wire::encode_error("no such job"), {}, false};
  JobId job{id};
  if (ctx_.proven()) {
    const auto s = ctx_.scheduler->status(job);
    if (s) co_return answer(200, *s);
    co_return co_await read_status(job);
  }
  if (!ctx_.leader.empty() && ctx_.leader != ctx_.settings.node) {
    rt::HttpResponse r = co_await forward(wire::PeerVerb::status, id, "", seconds(0.6));
    if (r.status == 200 || r.status == 404) co_return r;
  }
  co_return co_await read_status(job);
}

rt::Task<rt::HttpResponse> UserService::cancel_here(JobId id) {
  if (ctx_.scheduler->find_job(id) == nullptr) {
    rt::HttpResponse known = co_await read_status(id);
    const bool adopted = ctx_.proven() && ctx_.scheduler->find_job(id) != nullptr;
    if (!adopted) {
      const bool active = known.status == 200 && known.body.find("withdrawn") == std::string::npos &&
                          known.body.find("\"done\",") == std::string::npos &&
                          known.body.find("\"phase\":\"done\"") == std::string::npos;
      co_return active ? later("no leader") : known;
    }
  }
  if (!ctx_.proven()) co_return later("no leader");
  const auto gen = ctx_.scheduler->cancel(id, ctx_.now());
  if (!gen) co_return later("no leader");
  const JobPhase phase = ctx_.scheduler->find_job(id)->phase;
  const Generation wanted = *gen;
  ctx_.kick();
  ctx_.flushed.notify();
  const bool stored = co_await store_.wait_committed(wanted, seconds(3));
  if (!stored) co_return later("not stored yet");
  co_return answer(200, JobStatus{id, phase, 0, 0});
}

rt::Task<rt::HttpResponse> UserService::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return rt::HttpResponse{404, wire::encode_error("no such job"), {}, false};
  JobId job{id};
  if (ctx_.proven()) co_return co_await cancel_here(job);
  if (!ctx_.leader.empty() && ctx_.leader != ctx_.settings.node) {
    rt::HttpResponse r = co_await forward(wire::PeerVerb::cancel, id, "", seconds(3.5));
    if (r.status == 200 || r.status == 404) co_return r;
  }
  co_return later("no leader can be reached");
}

rt::Task<wire::PeerReply> UserService::on_peer(wire::PeerRequest request) {
  if (!ctx_.proven()) co_return wire::PeerReply{421, "{}"};
  if (!wire::valid_job_id(request.job)) co_return wire::PeerReply{404, "{}"};
  rt::HttpResponse r;
  JobId id{request.job};
  if (request.verb == wire::PeerVerb::status) {
    r = co_await status(request.job);
  } else if (request.verb == wire::PeerVerb::cancel) {
    r = co_await cancel_here(id);
  } else {
    auto parsed = wire::parse_job(request.body);
    auto* spec = std::get_if<JobSpec>(&parsed);
    if (spec == nullptr) co_return wire::PeerReply{400, "{}"};
    JobSpec wanted = std::move(*spec);
    r = co_await accept(std::move(wanted), true);
  }
  co_return wire::PeerReply{r.status, r.body};
}

}  // namespace martenwall::service
