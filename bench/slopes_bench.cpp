// What each thing costs at the size of docs/CAPACITY.md, each at several amounts: tools/slopes.py fits a line through
// them. A benchmark's argument is the amount; its time, or its counter `bytes`, is what is fitted.
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
constexpr std::size_t planned_running = 28'000;
constexpr std::uint32_t array_tasks = 400;
constexpr std::uint32_t gang_tasks = 64;

std::size_t heap_bytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <class F>
void timed(benchmark::State& state, F&& work) {
  const auto began = std::chrono::steady_clock::now();
  work();
  state.SetIterationTime(std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
}

std::size_t amount(const benchmark::State& state) { return static_cast<std::size_t>(state.range(0)); }

// The planned fleet with that many tasks of arrays running, and half of its machines with GPUs in gangs of 64.
Fleet running(std::size_t machines, std::size_t tasks) {
  Fleet f{planned_shape(machines)};
  for (std::size_t left = tasks; left > 0; left -= std::min<std::size_t>(left, array_tasks)) {
    f.add_array(static_cast<std::uint32_t>(std::min<std::size_t>(left, array_tasks)));
  }
  for (std::size_t gangs = machines * 9 / 68 / gang_tasks; gangs > 0; --gangs) f.add_gang(gang_tasks);
  f.fill();
  return f;
}

Fleet& planned() {
  static Fleet fleet = running(planned_machines, planned_running);
  return fleet;
}

// A worker's report as it comes: JSON, with so many running tasks.
std::string report_text(std::size_t tasks) {
  stand_ins::Rules rules{{6, 31, 50, 4, 51}, {}};
  stand_ins::WorkerWorld world{rules, {6, 31, 50, 4, 51}, [](const JobSpec&) { return 0.0; }};
  JobSpec spec;
  spec.id = JobId{"job-100000"};
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.need = {1, 0, 3};
  rules.add(spec, 1000, Time{});
  stand_ins::WorkerModel worker{
      world, {MachineId{"i-100000"}, "10.1.0.232:9000", "small-0", "zone-3", false, {1e3, 0, 1e4}}, Time{}};
  nlohmann::json commands = nlohmann::json::array();
  for (std::size_t i = 0; i < tasks; ++i) {
    commands.push_back({{"verb", "run"}, {"shard", "job-100000/" + std::to_string(i)}, {"try", i + 1}});
  }
  const nlohmann::json command{{"baton", 7}, {"tenure", 1}, {"orders", commands}};
  worker.commands(command, Time{});
  worker.tick(Time{seconds(1)}, false);
  return worker.report();
}

// ---- reports ----

std::vector<std::string> report_texts(std::size_t count, std::size_t tasks) {
  return std::vector<std::string>(count, report_text(tasks));
}

constexpr std::size_t usual_tasks = 4;  // on a machine: 28,000 on 6,800

void report_parse(benchmark::State& state) {
  const auto texts = report_texts(amount(state), usual_tasks);
  for (auto _ : state) {
    timed(state, [&] {
      for (const auto& t : texts) benchmark::DoNotOptimize(wire::parse_heartbeat(t));
    });
  }
}

void report_parse_by_tasks(benchmark::State& state) {
  const auto texts = report_texts(1000, amount(state));
  for (auto _ : state) {
    timed(state, [&] {
      for (const auto& t : texts) benchmark::DoNotOptimize(wire::parse_heartbeat(t));
    });
  }
}

void report_size_by_tasks(benchmark::State& state) {
  for (auto _ : state) {
    timed(state, [&] { benchmark::DoNotOptimize(report_text(amount(state))); });
  }
  state.counters["bytes"] = static_cast<double>(report_text(amount(state)).size());
}

void report_decide(benchmark::State& state) {
  Fleet& f = planned();
  for (auto _ : state) {
    f.pass(1);
    const auto reports = f.heartbeats(amount(state));
    timed(state, [&] {
      for (const auto& r : reports) f.report(r);
    });
  }
}

template <class F>
void in_batches(const std::vector<Heartbeat>& reports, F&& each) {
  for (std::size_t i = 0; i < reports.size(); i += wire::max_batch_heartbeats) {
    wire::HeartbeatBatch batch{{"node-1", 900, 1500}, {}};
    const auto end = std::min(reports.size(), i + wire::max_batch_heartbeats);
    batch.heartbeats.assign(reports.begin() + static_cast<std::ptrdiff_t>(i),
                            reports.begin() + static_cast<std::ptrdiff_t>(end));
    each(batch);
  }
}

// What a node that passes reports on does beside reading them.
void report_pass_on(benchmark::State& state) {
  const auto reports = planned().heartbeats(amount(state));
  for (auto _ : state) {
    timed(state, [&] {
      in_batches(reports, [&](const wire::HeartbeatBatch& batch) {
        benchmark::DoNotOptimize(wire::encode_batch(batch));
        wire::HeartbeatResponses answers{FencingToken{7}, std::vector<HeartbeatResponse>(batch.heartbeats.size()), {}};
        const auto back = wire::decode_responses(wire::encode_responses(answers));
        for (const auto& a : back->answers)
          benchmark::DoNotOptimize(wire::encode_heartbeat_response(FencingToken{7}, a.commands));
      });
    });
  }
}

// What the leader does for a report that was passed on.
void report_passed_on_decide(benchmark::State& state) {
  Fleet& f = planned();
  for (auto _ : state) {
    f.pass(1);
    std::vector<std::string> batches;
    in_batches(f.heartbeats(amount(state)), [&](const auto& b) { batches.push_back(wire::encode_batch(b)); });
    timed(state, [&] {
      for (const auto& text : batches) {
        const auto batch = wire::decode_batch(text);
        for (const auto& r : batch->reports) f.report(r);
        wire::HeartbeatResponses answers{FencingToken{7}, std::vector<HeartbeatResponse>(batch->reports.size()), {}};
        benchmark::DoNotOptimize(wire::encode_responses(answers));
      }
    });
  }
}

// ---- starts and ends ----

void encode_rows(const std::vector<RowWrite>& rows) {
  for (const auto& r : rows) {
    if (r.tasks) benchmark::DoNotOptimize(wire::encode_tasks(*r.tasks).dump());
  }
}

void start(benchmark::State& state) {
  Fleet f{planned_shape(planned_machines)};
  for (auto _ : state) {
    f.add_array(static_cast<std::uint32_t>(amount(state)));
    timed(state, [&] {
      f.round();
      const auto rows = f.scheduler().take_writes(1000, false, f.now() + seconds(0.1));
      encode_rows(rows);
      f.scheduler().stored(rows, f.now());
      for (const auto& b : f.scheduler().take_command_batches(f.now())) {
        benchmark::DoNotOptimize(wire::encode_command_batch(FencingToken{7}, b.incarnation, b.commands));
        f.scheduler().on_command_outcome(b, CommandOutcome::executed, f.now());
      }
    });
  }
}

void end(benchmark::State& state) {
  for (auto _ : state) {
    Fleet f = running(planned_machines, planned_running / 4);
    f.pass(1);
    const auto reports = f.ends(amount(state));
    timed(state, [&] {
      for (const auto& r : reports) f.report(r);
      const auto rows = f.scheduler().take_writes(1000, true, f.now() + seconds(10));
      encode_rows(rows);
      f.scheduler().stored(rows, f.now());
    });
  }
}

// ---- rounds ----

// Everything is taken, so that the rows are looked at and none goes away.
void rounds_of(benchmark::State& state, Fleet& f) {
  f.round();
  for (auto _ : state) {
    f.pass(1);
    for (const auto& r : f.heartbeats(f.scheduler().machines().size())) f.report(r);
    timed(state, [&] { f.round(); });
  }
  state.counters["rows"] = static_cast<double>(f.scheduler().last_cycle_size().jobs);
  state.counters["columns"] = static_cast<double>(f.scheduler().last_cycle_size().machines);
}

void add_waiting(Fleet& f, std::size_t jobs) {
  for (std::size_t i = 0; i < jobs; ++i) f.add_gang(i % 2 == 0 ? 1 : 4);
}

Fleet crowded(FleetShape kind, std::size_t waiting) {
  Fleet f{std::move(kind)};
  const auto gpu_machines = static_cast<std::size_t>(static_cast<double>(f.scheduler().machines().size()) * 0.2647);
  for (std::size_t left = gpu_machines; left > 0; left -= std::min<std::size_t>(left, 8)) f.add_gang(8);
  f.fill();
  add_waiting(f, waiting);
  return f;
}

void round_by_rows(benchmark::State& state) {
  Fleet f = crowded(planned_shape(planned_machines), amount(state));
  rounds_of(state, f);
}

void round_by_machines(benchmark::State& state) {
  Fleet f = crowded(planned_shape(amount(state)), 100);
  rounds_of(state, f);
}

// The planned fleet, changed in one respect.
template <class F>
void round_of_changed(benchmark::State& state, F&& change) {
  FleetShape kind = planned_shape(planned_machines);
  change(kind);
  Fleet f = crowded(std::move(kind), 100);
  rounds_of(state, f);
}

void round_by_zones(benchmark::State& state) {
  round_of_changed(state, [&](FleetShape& kind) { kind.zones = amount(state); });
}

void round_by_teams(benchmark::State& state) {
  round_of_changed(state, [&](FleetShape& kind) { kind.teams = amount(state); });
}

void round_by_kinds(benchmark::State& state) {
  round_of_changed(state, [&](FleetShape& kind) { kind.cpu_kinds = amount(state); });
}

// ---- users ----

void submission(benchmark::State& state) {
  for (auto _ : state) {
    Fleet f{planned_shape(100)};
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < amount(state); ++i) {
      bodies.push_back(wire::encode_job(f.next_spec(JobKind::gang, 4, Priority::high)).dump());
    }
    timed(state, [&] {
      for (const auto& body : bodies) {
        Job job;
        job.spec = wire::parse_job(body).value();
        job.submitted = f.now();
        benchmark::DoNotOptimize(wire::encode_job_row(job).dump());
        f.scheduler().add_job(std::move(job), f.now());
      }
    });
  }
}

void poll(benchmark::State& state) {
  Fleet& f = planned();
  std::vector<JobId> ids;
  for (const auto& [id, job] : f.scheduler().jobs()) ids.push_back(id);
  for (auto _ : state) {
    timed(state, [&] {
      for (std::size_t i = 0; i < amount(state); ++i) {
        benchmark::DoNotOptimize(wire::encode_status(*f.scheduler().status(ids[i % ids.size()])));
      }
    });
  }
}

// A question that another node asks for its user: many in one frame.
void question(benchmark::State& state) {
  Fleet& f = planned();
  std::vector<std::string> ids;
  for (const auto& [id, job] : f.scheduler().jobs()) ids.push_back(id.value());
  for (auto _ : state) {
    timed(state, [&] {
      for (std::size_t asked = 0; asked < amount(state); asked += 50) {
        wire::PeerRequest request{wire::PeerVerb::statuses, "", "", {}};
        for (std::size_t i = 0; i < 50; ++i) request.jobs.push_back(ids[(asked + i) % ids.size()]);
        const std::string frame = wire::encode_frame(request);
        wire::PeerReply reply{200, "", {}};
        const auto heard = wire::decode_request(std::string_view{frame}.substr(4));
        for (const auto& id : heard->jobs) {
          const auto s = *f.scheduler().status(JobId{id});
          reply.statuses.push_back({true, static_cast<std::uint8_t>(s.phase), s.done, s.running});
        }
        benchmark::DoNotOptimize(wire::encode_frame(reply));
      }
    });
  }
}

void cancellation(benchmark::State& state) {
  for (auto _ : state) {
    Fleet f{planned_shape(planned_machines)};
    std::vector<JobId> ids;
    for (std::size_t i = 0; i < amount(state); ++i) ids.push_back(f.add_gang(4));
    f.fill();
    timed(state, [&] {
      for (const auto& id : ids) f.scheduler().cancel(id, f.now());
    });
  }
}

// ---- memory ----

template <class F>
void held(benchmark::State& state, F&& make) {
  for (auto _ : state) {
    const auto before = heap_bytes();
    timed(state, [&] {
      const auto kept = make();
      state.counters["bytes"] = static_cast<double>(heap_bytes() - before);
      benchmark::DoNotOptimize(kept);
    });
  }
}

void memory_by_machines(benchmark::State& state) {
  held(state, [&] { return Fleet{planned_shape(amount(state))}; });
}

void memory_by_placed_tasks(benchmark::State& state) {
  for (auto _ : state) {
    Fleet f{planned_shape(planned_machines)};
    const auto before = heap_bytes();
    timed(state, [&] {
      for (std::size_t left = amount(state); left > 0; left -= std::min<std::size_t>(left, array_tasks)) {
        f.add_array(static_cast<std::uint32_t>(std::min<std::size_t>(left, array_tasks)));
      }
      f.fill();
    });
    state.counters["bytes"] = static_cast<double>(heap_bytes() - before);
    state.counters["placed"] = static_cast<double>(f.placed());
  }
}

void memory_by_pending_jobs(benchmark::State& state) {
  for (auto _ : state) {
    Fleet f{planned_shape(100)};
    const auto before = heap_bytes();
    timed(state, [&] { add_waiting(f, amount(state)); });
    state.counters["bytes"] = static_cast<double>(heap_bytes() - before);
  }
}

void memory_by_finished_jobs(benchmark::State& state) {
  held(state, [&] {
    auto finals = std::make_unique<service::FinishedJobCache>(1'000'000);
    for (std::size_t i = 0; i < amount(state); ++i) {
      finals->add({JobId{"job-" + std::to_string(100000 + i)}, JobPhase::done, 4, 0});
    }
    return finals;
  });
}

// ---- a new leader ----

std::string rows_text(const Fleet::Rows& rows) {
  std::string all;
  for (const auto& job : rows.jobs) all += wire::encode_job_row(job).dump();
  for (const auto& tasks : rows.tasks) all += wire::encode_tasks(tasks).dump();
  constexpr std::size_t group = 60;
  for (std::size_t i = 0; i < rows.machines.size(); i += group) {
    const auto end = std::min(rows.machines.size(), i + group);
    const std::vector<MachineRecord> facts{rows.machines.begin() + static_cast<std::ptrdiff_t>(i),
                                           rows.machines.begin() + static_cast<std::ptrdiff_t>(end)};
    all += wire::encode_machines(facts).dump();
  }
  return all;
}

// By machines; tasks and jobs in proportion.
void take_over(benchmark::State& state) {
  const Fleet f = running(amount(state), amount(state) * planned_running / planned_machines);
  const auto rows = f.jobs();
  for (auto _ : state) {
    timed(state, [&] {
      auto s = f.load(rows);
      benchmark::DoNotOptimize(s);
    });
  }
}

void rows_of_the_store(benchmark::State& state) {
  const Fleet f = running(amount(state), amount(state) * planned_running / planned_machines);
  const auto rows = f.jobs();
  for (auto _ : state) {
    timed(state, [&] { benchmark::DoNotOptimize(rows_text(rows)); });
  }
  state.counters["bytes"] = static_cast<double>(rows_text(rows).size());
}

// What the store keeps of jobs that are over, for good.
void finished_jobs_in_the_store(benchmark::State& state) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    timed(state, [&] {
      bytes = 0;
      for (std::size_t i = 0; i < amount(state); ++i) {
        const JobId id{"job-" + std::to_string(100000 + i)};
        bytes += wire::final_key(id).size() + wire::encode_final({id, JobPhase::done, 4, 4}).dump().size();
      }
    });
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void amounts(benchmark::internal::Benchmark* b, std::initializer_list<std::int64_t> list) {
  for (const auto n : list) b->Arg(n);
  b->UseManualTime()->Iterations(3)->Repetitions(3)->ReportAggregatesOnly()->Unit(benchmark::kMicrosecond);
}
void reports_a_second(benchmark::internal::Benchmark* b) { amounts(b, {250, 500, 1000, 2000, 4000}); }
void tasks_on_a_machine(benchmark::internal::Benchmark* b) { amounts(b, {0, 8, 16, 32, 60}); }
void tasks_a_second(benchmark::internal::Benchmark* b) { amounts(b, {68, 135, 270, 540, 1080}); }
void waiting_jobs(benchmark::internal::Benchmark* b) { amounts(b, {50, 100, 200, 400, 800}); }
void machines(benchmark::internal::Benchmark* b) { amounts(b, {850, 1700, 3400, 6800, 13600}); }
void zones(benchmark::internal::Benchmark* b) { amounts(b, {3, 6, 9, 12, 15}); }
void teams(benchmark::internal::Benchmark* b) { amounts(b, {6, 12, 24, 48}); }
void kinds(benchmark::internal::Benchmark* b) { amounts(b, {1, 2, 4, 8}); }
void users(benchmark::internal::Benchmark* b) { amounts(b, {100, 200, 400, 800, 1600}); }
void placed_tasks(benchmark::internal::Benchmark* b) { amounts(b, {3500, 7000, 14000, 28000}); }
void finished_jobs(benchmark::internal::Benchmark* b) { amounts(b, {6000, 12000, 24000, 48000}); }
void cancelled_jobs(benchmark::internal::Benchmark* b) { amounts(b, {25, 50, 100, 200, 400}); }

BENCHMARK(report_parse)->Apply(reports_a_second);
BENCHMARK(report_parse_by_tasks)->Apply(tasks_on_a_machine);
BENCHMARK(report_size_by_tasks)->Apply(tasks_on_a_machine);
BENCHMARK(report_decide)->Apply(reports_a_second);
BENCHMARK(report_pass_on)->Apply(reports_a_second);
BENCHMARK(report_passed_on_decide)->Apply(reports_a_second);
BENCHMARK(start)->Apply(tasks_a_second);
BENCHMARK(end)->Apply(tasks_a_second);
BENCHMARK(round_by_rows)->Apply(waiting_jobs);
BENCHMARK(round_by_machines)->Apply(machines);
BENCHMARK(round_by_zones)->Apply(zones);
BENCHMARK(round_by_teams)->Apply(teams);
BENCHMARK(round_by_kinds)->Apply(kinds);
BENCHMARK(submission)->Apply(users);
BENCHMARK(poll)->Apply(users);
BENCHMARK(question)->Apply(users);
BENCHMARK(cancellation)->Apply(cancelled_jobs);
BENCHMARK(memory_by_machines)->Apply(machines);
BENCHMARK(memory_by_placed_tasks)->Apply(placed_tasks);
BENCHMARK(memory_by_pending_jobs)->Apply(waiting_jobs);
BENCHMARK(memory_by_finished_jobs)->Apply(finished_jobs);
BENCHMARK(take_over)->Apply(machines);
BENCHMARK(rows_of_the_store)->Apply(machines);
BENCHMARK(finished_jobs_in_the_store)->Apply(finished_jobs);

}  // namespace
}  // namespace martenwall::bench

BENCHMARK_MAIN();
