// Measures the cost of each operation at the size of docs/CAPACITY.md for several values of one quantity, the amount
// (the argument of the benchmark). tools/slopes.py fits a line to the time of the benchmark, or to its counter `bytes`.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>

#include "fleet.hpp"
#include "service/finished_job_cache.hpp"
#include "stand_ins/worker_model.hpp"
#include "wire/heartbeat_codec.hpp"
#include "wire/peer_codec.hpp"
#include "wire/store_codec.hpp"
#include "wire/user_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall::bench {
namespace {

constexpr std::size_t planned_machines = 6800;
constexpr std::size_t planned_running_tasks = 28'000;
constexpr std::uint32_t array_tasks = 400;
constexpr std::uint32_t gang_tasks = 64;

std::size_t heap_bytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <class F>
void measure_time(benchmark::State& state, F&& function) {
  const auto start_time = std::chrono::steady_clock::now();
  function();
  state.SetIterationTime(std::chrono::duration<double>(std::chrono::steady_clock::now() - start_time).count());
}

std::size_t amount(const benchmark::State& state) { return static_cast<std::size_t>(state.range(0)); }

// Returns the planned fleet with that many array tasks running, and half of its GPU machines used by gangs of 64.
Fleet running_fleet(std::size_t machines, std::size_t tasks) {
  Fleet fleet{planned_shape(machines)};
  for (std::size_t remaining = tasks; remaining > 0; remaining -= std::min<std::size_t>(remaining, array_tasks)) {
    fleet.add_array(static_cast<std::uint32_t>(std::min<std::size_t>(remaining, array_tasks)));
  }
  for (std::size_t gangs = machines * 9 / 68 / gang_tasks; gangs > 0; --gangs) fleet.add_gang(gang_tasks);
  fleet.fill();
  return fleet;
}

Fleet& planned_fleet() {
  static Fleet fleet = running_fleet(planned_machines, planned_running_tasks);
  return fleet;
}

// Returns the JSON of a worker's heartbeat with that number of running tasks.
std::string heartbeat_json(std::size_t tasks) {
  stand_ins::Rules rules{{6, 31, 50, 4, 51}, {}};
  stand_ins::WorkerContext context{rules, {6, 31, 50, 4, 51}, [](const JobSpec&) { return 0.0; }};
  JobSpec spec;
  spec.id = JobId{"job-100000"};
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.need = {1, 0, 3};
  rules.add(spec, 1000, Time{});
  stand_ins::WorkerModel worker{
      context, {MachineId{"i-100000"}, "10.1.0.232:9000", "small-0", "zone-3", false, {1e3, 0, 1e4}}, Time{}};
  nlohmann::json commands = nlohmann::json::array();
  for (std::size_t i = 0; i < tasks; ++i) {
    commands.push_back({{"verb", "run"}, {"shard", "job-100000/" + std::to_string(i)}, {"try", i + 1}});
  }
  const nlohmann::json command{{"baton", 7}, {"tenure", 1}, {"orders", commands}};
  worker.commands(command, Time{});
  worker.tick(Time{seconds(1)}, false);
  return worker.report();
}

// ---- heartbeats ----

std::vector<std::string> heartbeat_bodies(std::size_t count, std::size_t tasks) {
  return std::vector<std::string>(count, heartbeat_json(tasks));
}

constexpr std::size_t mean_tasks_per_machine = 4;  // 28,000 tasks on 6,800 machines

void report_parse(benchmark::State& state) {
  const auto bodies = heartbeat_bodies(amount(state), mean_tasks_per_machine);
  for (auto _ : state) {
    measure_time(state, [&] {
      for (const auto& body : bodies) benchmark::DoNotOptimize(wire::parse_heartbeat(body));
    });
  }
}

void report_parse_by_tasks(benchmark::State& state) {
  const auto bodies = heartbeat_bodies(1000, amount(state));
  for (auto _ : state) {
    measure_time(state, [&] {
      for (const auto& body : bodies) benchmark::DoNotOptimize(wire::parse_heartbeat(body));
    });
  }
}

void report_size_by_tasks(benchmark::State& state) {
  for (auto _ : state) {
    measure_time(state, [&] { benchmark::DoNotOptimize(heartbeat_json(amount(state))); });
  }
  state.counters["bytes"] = static_cast<double>(heartbeat_json(amount(state)).size());
}

void report_decide(benchmark::State& state) {
  Fleet& fleet = planned_fleet();
  for (auto _ : state) {
    fleet.advance_clock(1);
    const auto heartbeats = fleet.next_heartbeats(amount(state));
    measure_time(state, [&] {
      for (const auto& heartbeat : heartbeats) fleet.deliver(heartbeat);
    });
  }
}

template <class F>
void for_each_batch(const std::vector<Heartbeat>& heartbeats, F&& function) {
  for (std::size_t i = 0; i < heartbeats.size(); i += wire::max_batch_heartbeats) {
    wire::HeartbeatBatch batch{{"node-1", 900, 1500}, {}};
    const auto end = std::min(heartbeats.size(), i + wire::max_batch_heartbeats);
    batch.heartbeats.assign(heartbeats.begin() + static_cast<std::ptrdiff_t>(i),
                            heartbeats.begin() + static_cast<std::ptrdiff_t>(end));
    function(batch);
  }
}

// Work of a node that forwards heartbeats, besides parsing them.
void report_pass_on(benchmark::State& state) {
  const auto heartbeats = planned_fleet().next_heartbeats(amount(state));
  for (auto _ : state) {
    measure_time(state, [&] {
      for_each_batch(heartbeats, [&](const wire::HeartbeatBatch& batch) {
        benchmark::DoNotOptimize(wire::encode_batch(batch));
        wire::HeartbeatResponses responses{
            FencingToken{7}, std::vector<HeartbeatResponse>(batch.heartbeats.size()), {}};
        const auto decoded = wire::decode_responses(wire::encode_responses(responses));
        for (const auto& response : decoded->responses)
          benchmark::DoNotOptimize(wire::encode_heartbeat_response(FencingToken{7}, response.commands));
      });
    });
  }
}

// Work of the leader for a forwarded heartbeat.
void report_passed_on_decide(benchmark::State& state) {
  Fleet& fleet = planned_fleet();
  for (auto _ : state) {
    fleet.advance_clock(1);
    std::vector<std::string> batches;
    for_each_batch(fleet.next_heartbeats(amount(state)),
                   [&](const auto& batch) { batches.push_back(wire::encode_batch(batch)); });
    measure_time(state, [&] {
      for (const auto& body : batches) {
        const auto batch = wire::decode_batch(body);
        for (const auto& heartbeat : batch->heartbeats) fleet.deliver(heartbeat);
        wire::HeartbeatResponses responses{
            FencingToken{7}, std::vector<HeartbeatResponse>(batch->heartbeats.size()), {}};
        benchmark::DoNotOptimize(wire::encode_responses(responses));
      }
    });
  }
}

// ---- task starts and ends ----

void encode_rows(const std::vector<RowWrite>& rows) {
  for (const auto& row : rows) {
    if (row.tasks) benchmark::DoNotOptimize(wire::encode_tasks(*row.tasks).dump());
  }
}

void start(benchmark::State& state) {
  Fleet fleet{planned_shape(planned_machines)};
  for (auto _ : state) {
    fleet.add_array(static_cast<std::uint32_t>(amount(state)));
    measure_time(state, [&] {
      fleet.run_cycle();
      const auto rows = fleet.scheduler().take_writes(1000, false, fleet.now() + seconds(0.1));
      encode_rows(rows);
      fleet.scheduler().on_rows_stored(rows, fleet.now());
      for (const auto& batch : fleet.scheduler().take_command_batches(fleet.now())) {
        benchmark::DoNotOptimize(wire::encode_command_batch(FencingToken{7}, batch.incarnation, batch.commands));
        fleet.scheduler().on_command_outcome(batch, CommandOutcome::executed, fleet.now());
      }
    });
  }
}

void end(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet = running_fleet(planned_machines, planned_running_tasks / 4);
    fleet.advance_clock(1);
    const auto heartbeats = fleet.end_tasks(amount(state));
    measure_time(state, [&] {
      for (const auto& heartbeat : heartbeats) fleet.deliver(heartbeat);
      const auto rows = fleet.scheduler().take_writes(1000, true, fleet.now() + seconds(10));
      encode_rows(rows);
      fleet.scheduler().on_rows_stored(rows, fleet.now());
    });
  }
}

// ---- rounds ----

// All machines are busy, so that each round evaluates all rows and places none.
void measure_cycles(benchmark::State& state, Fleet& fleet) {
  fleet.run_cycle();
  for (auto _ : state) {
    fleet.advance_clock(1);
    for (const auto& heartbeat : fleet.next_heartbeats(fleet.scheduler().machines().size())) fleet.deliver(heartbeat);
    measure_time(state, [&] { fleet.run_cycle(); });
  }
  state.counters["rows"] = static_cast<double>(fleet.scheduler().last_cycle_size().jobs);
  state.counters["columns"] = static_cast<double>(fleet.scheduler().last_cycle_size().machines);
}

void add_pending_gangs(Fleet& fleet, std::size_t jobs) {
  for (std::size_t i = 0; i < jobs; ++i) fleet.add_gang(i % 2 == 0 ? 1 : 4);
}

Fleet saturated_fleet(FleetShape shape, std::size_t pending_jobs) {
  Fleet fleet{std::move(shape)};
  const auto gpu_machines = static_cast<std::size_t>(static_cast<double>(fleet.scheduler().machines().size()) * 0.2647);
  for (std::size_t remaining = gpu_machines; remaining > 0; remaining -= std::min<std::size_t>(remaining, 8))
    fleet.add_gang(8);
  fleet.fill();
  add_pending_gangs(fleet, pending_jobs);
  return fleet;
}

void round_by_rows(benchmark::State& state) {
  Fleet fleet = saturated_fleet(planned_shape(planned_machines), amount(state));
  measure_cycles(state, fleet);
}

void round_by_machines(benchmark::State& state) {
  Fleet fleet = saturated_fleet(planned_shape(amount(state)), 100);
  measure_cycles(state, fleet);
}

// Measures rounds of the planned fleet with one parameter changed.
template <class F>
void measure_changed_shape(benchmark::State& state, F&& change) {
  FleetShape shape = planned_shape(planned_machines);
  change(shape);
  Fleet fleet = saturated_fleet(std::move(shape), 100);
  measure_cycles(state, fleet);
}

void round_by_zones(benchmark::State& state) {
  measure_changed_shape(state, [&](FleetShape& shape) { shape.zones = amount(state); });
}

void round_by_teams(benchmark::State& state) {
  measure_changed_shape(state, [&](FleetShape& shape) { shape.teams = amount(state); });
}

void round_by_kinds(benchmark::State& state) {
  measure_changed_shape(state, [&](FleetShape& shape) { shape.cpu_types = amount(state); });
}

// ---- users ----

void submission(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet{planned_shape(100)};
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < amount(state); ++i) {
      bodies.push_back(wire::encode_job(fleet.next_spec(JobKind::gang, 4, Priority::high)).dump());
    }
    measure_time(state, [&] {
      for (const auto& body : bodies) {
        Job job;
        job.spec = wire::parse_job(body).value();
        job.submitted = fleet.now();
        benchmark::DoNotOptimize(wire::encode_job_row(job).dump());
        fleet.scheduler().add_job(std::move(job), fleet.now());
      }
    });
  }
}

void poll(benchmark::State& state) {
  Fleet& fleet = planned_fleet();
  std::vector<JobId> ids;
  for (const auto& [id, job] : fleet.scheduler().jobs()) ids.push_back(id);
  for (auto _ : state) {
    measure_time(state, [&] {
      for (std::size_t i = 0; i < amount(state); ++i) {
        benchmark::DoNotOptimize(wire::encode_status(*fleet.scheduler().status(ids[i % ids.size()])));
      }
    });
  }
}

// Status queries that another node sends for its users, 50 per frame.
void question(benchmark::State& state) {
  Fleet& fleet = planned_fleet();
  std::vector<std::string> ids;
  for (const auto& [id, job] : fleet.scheduler().jobs()) ids.push_back(id.value());
  for (auto _ : state) {
    measure_time(state, [&] {
      for (std::size_t offset = 0; offset < amount(state); offset += 50) {
        wire::PeerRequest request{wire::PeerVerb::statuses, "", "", {}};
        for (std::size_t i = 0; i < 50; ++i) request.jobs.push_back(ids[(offset + i) % ids.size()]);
        const std::string frame = wire::encode_frame(request);
        wire::PeerReply reply{200, "", {}};
        const auto decoded = wire::decode_request(std::string_view{frame}.substr(4));
        for (const auto& id : decoded->jobs) {
          const auto status = *fleet.scheduler().status(JobId{id});
          reply.statuses.push_back({true, static_cast<std::uint8_t>(status.phase), status.done, status.running});
        }
        benchmark::DoNotOptimize(wire::encode_frame(reply));
      }
    });
  }
}

void cancellation(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet{planned_shape(planned_machines)};
    std::vector<JobId> ids;
    for (std::size_t i = 0; i < amount(state); ++i) ids.push_back(fleet.add_gang(4));
    fleet.fill();
    measure_time(state, [&] {
      for (const auto& id : ids) fleet.scheduler().cancel(id, fleet.now());
    });
  }
}

// ---- memory ----

template <class F>
void measure_heap_growth(benchmark::State& state, F&& factory) {
  for (auto _ : state) {
    const auto initial_bytes = heap_bytes();
    measure_time(state, [&] {
      const auto object = factory();
      state.counters["bytes"] = static_cast<double>(heap_bytes() - initial_bytes);
      benchmark::DoNotOptimize(object);
    });
  }
}

void memory_by_machines(benchmark::State& state) {
  measure_heap_growth(state, [&] { return Fleet{planned_shape(amount(state))}; });
}

void memory_by_placed_tasks(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet{planned_shape(planned_machines)};
    const auto initial_bytes = heap_bytes();
    measure_time(state, [&] {
      for (std::size_t remaining = amount(state); remaining > 0;
           remaining -= std::min<std::size_t>(remaining, array_tasks)) {
        fleet.add_array(static_cast<std::uint32_t>(std::min<std::size_t>(remaining, array_tasks)));
      }
      fleet.fill();
    });
    state.counters["bytes"] = static_cast<double>(heap_bytes() - initial_bytes);
    state.counters["placed"] = static_cast<double>(fleet.placed_tasks());
  }
}

void memory_by_pending_jobs(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet{planned_shape(100)};
    const auto initial_bytes = heap_bytes();
    measure_time(state, [&] { add_pending_gangs(fleet, amount(state)); });
    state.counters["bytes"] = static_cast<double>(heap_bytes() - initial_bytes);
  }
}

void memory_by_finished_jobs(benchmark::State& state) {
  measure_heap_growth(state, [&] {
    auto cache = std::make_unique<service::FinishedJobCache>(1'000'000);
    for (std::size_t i = 0; i < amount(state); ++i) {
      cache->add({JobId{"job-" + std::to_string(100000 + i)}, JobPhase::done, 4, 0});
    }
    return cache;
  });
}

// ---- a new leader ----

std::string encode_stored_rows(const Fleet::StoredRows& rows) {
  std::string encoded;
  for (const auto& job : rows.jobs) encoded += wire::encode_job_row(job).dump();
  for (const auto& tasks : rows.tasks) encoded += wire::encode_tasks(tasks).dump();
  constexpr std::size_t group_size = 60;
  for (std::size_t i = 0; i < rows.machines.size(); i += group_size) {
    const auto end = std::min(rows.machines.size(), i + group_size);
    const std::vector<MachineRecord> records{rows.machines.begin() + static_cast<std::ptrdiff_t>(i),
                                             rows.machines.begin() + static_cast<std::ptrdiff_t>(end)};
    encoded += wire::encode_machines(records).dump();
  }
  return encoded;
}

// The amount is the number of machines; tasks and jobs are proportional to it.
void take_over(benchmark::State& state) {
  const Fleet fleet = running_fleet(amount(state), amount(state) * planned_running_tasks / planned_machines);
  const auto rows = fleet.stored_rows();
  for (auto _ : state) {
    measure_time(state, [&] {
      auto scheduler = fleet.load(rows);
      benchmark::DoNotOptimize(scheduler);
    });
  }
}

void rows_of_the_store(benchmark::State& state) {
  const Fleet fleet = running_fleet(amount(state), amount(state) * planned_running_tasks / planned_machines);
  const auto rows = fleet.stored_rows();
  for (auto _ : state) {
    measure_time(state, [&] { benchmark::DoNotOptimize(encode_stored_rows(rows)); });
  }
  state.counters["bytes"] = static_cast<double>(encode_stored_rows(rows).size());
}

// Size of the permanent records of finished jobs in the store.
void finished_jobs_in_the_store(benchmark::State& state) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    measure_time(state, [&] {
      bytes = 0;
      for (std::size_t i = 0; i < amount(state); ++i) {
        const JobId id{"job-" + std::to_string(100000 + i)};
        bytes += wire::final_key(id).size() + wire::encode_final({id, JobPhase::done, 4, 4}).dump().size();
      }
    });
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void amounts(benchmark::internal::Benchmark* b, std::initializer_list<std::int64_t> values) {
  for (const auto value : values) b->Arg(value);
  b->UseManualTime()->Iterations(3)->Repetitions(3)->ReportAggregatesOnly()->Unit(benchmark::kMicrosecond);
}
void heartbeats_per_second(benchmark::internal::Benchmark* b) { amounts(b, {250, 500, 1000, 2000, 4000}); }
void tasks_per_machine(benchmark::internal::Benchmark* b) { amounts(b, {0, 8, 16, 32, 60}); }
void tasks_per_second(benchmark::internal::Benchmark* b) { amounts(b, {68, 135, 270, 540, 1080}); }
void pending_jobs(benchmark::internal::Benchmark* b) { amounts(b, {50, 100, 200, 400, 800}); }
void machines(benchmark::internal::Benchmark* b) { amounts(b, {850, 1700, 3400, 6800, 13600}); }
void zones(benchmark::internal::Benchmark* b) { amounts(b, {3, 6, 9, 12, 15}); }
void teams(benchmark::internal::Benchmark* b) { amounts(b, {6, 12, 24, 48}); }
void cpu_types(benchmark::internal::Benchmark* b) { amounts(b, {1, 2, 4, 8}); }
void users(benchmark::internal::Benchmark* b) { amounts(b, {100, 200, 400, 800, 1600}); }
void placed_tasks(benchmark::internal::Benchmark* b) { amounts(b, {3500, 7000, 14000, 28000}); }
void finished_jobs(benchmark::internal::Benchmark* b) { amounts(b, {6000, 12000, 24000, 48000}); }
void cancelled_jobs(benchmark::internal::Benchmark* b) { amounts(b, {25, 50, 100, 200, 400}); }

BENCHMARK(report_parse)->Apply(heartbeats_per_second);
BENCHMARK(report_parse_by_tasks)->Apply(tasks_per_machine);
BENCHMARK(report_size_by_tasks)->Apply(tasks_per_machine);
BENCHMARK(report_decide)->Apply(heartbeats_per_second);
BENCHMARK(report_pass_on)->Apply(heartbeats_per_second);
BENCHMARK(report_passed_on_decide)->Apply(heartbeats_per_second);
BENCHMARK(start)->Apply(tasks_per_second);
BENCHMARK(end)->Apply(tasks_per_second);
BENCHMARK(round_by_rows)->Apply(pending_jobs);
BENCHMARK(round_by_machines)->Apply(machines);
BENCHMARK(round_by_zones)->Apply(zones);
BENCHMARK(round_by_teams)->Apply(teams);
BENCHMARK(round_by_kinds)->Apply(cpu_types);
BENCHMARK(submission)->Apply(users);
BENCHMARK(poll)->Apply(users);
BENCHMARK(question)->Apply(users);
BENCHMARK(cancellation)->Apply(cancelled_jobs);
BENCHMARK(memory_by_machines)->Apply(machines);
BENCHMARK(memory_by_placed_tasks)->Apply(placed_tasks);
BENCHMARK(memory_by_pending_jobs)->Apply(pending_jobs);
BENCHMARK(memory_by_finished_jobs)->Apply(finished_jobs);
BENCHMARK(take_over)->Apply(machines);
BENCHMARK(rows_of_the_store)->Apply(machines);
BENCHMARK(finished_jobs_in_the_store)->Apply(finished_jobs);

}  // namespace
}  // namespace martenwall::bench

BENCHMARK_MAIN();
