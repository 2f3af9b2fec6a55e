// The state service of one cell: the stand-in's store model behind HTTP, in real time.
#pragma once
#include "runtime/http_server.hpp"
#include "scale/plan.hpp"

namespace martenwall::scale {

// Serves the key-value API, and on a second port a control API with counters and unlimited access to the store.
class StoreServer {
 public:
  StoreServer(rt::Loop& loop, StorePlan plan);
  // Starts both servers and the tick loop.
  void run();

 private:
  rt::Task<rt::HttpResponse> handle(rt::HttpMessage request);
  rt::Task<rt::HttpResponse> watch(std::string target);
  rt::Task<rt::HttpResponse> control(rt::HttpMessage request);
  rt::Task<void> tick_loop();

  rt::Loop& loop_;
  StorePlan plan_;
  stand_ins::StoreModel model_;
  rt::Event changed_;
  rt::HttpServer server_, control_;
  struct Counts {
    std::uint64_t requests = 0, refused = 0, transactions = 0, conflicts = 0, bytes_in = 0, bytes_out = 0;
  } counts_;
};

}  // namespace martenwall::scale
