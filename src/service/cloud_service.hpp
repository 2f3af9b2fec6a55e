// The cloud: machine types, renting, returning, the lagging list.
#pragma once
#include "service/context.hpp"
#include "service/rate.hpp"
#include "service/state_client.hpp"

namespace martenwall::service {

class CloudService {
 public:
  CloudService(Context& ctx, StateClient& state);
  rt::Task<void> run_types();
  rt::Task<void> run_list();
  rt::Task<void> run_fleet();

 private:
  rt::Task<rt::HttpResult> call(std::string method, std::string target, std::string body, Duration timeout);
  rt::Task<bool> fetch_types();
  rt::Task<void> store_types();
  rt::Task<void> list_once(std::uint64_t term);
  rt::Task<void> hire(std::uint64_t term, HireRequest request);
  rt::Task<void> release(std::uint64_t term, std::vector<MachineId> ids);

  Context& ctx_;
  StateClient& state_;
  rt::HttpClient http_;
  Rate rate_;
  bool types_stored_ = false;
  bool releasing_ = false;
};

}  // namespace martenwall::service
