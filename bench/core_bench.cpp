// Measures scheduling rounds, a thousand heartbeats and the load of a new leader by fleet size, and memory per object.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "fleet.hpp"

namespace martenwall::bench {
namespace {

// 100,000 pending tasks at 12,500 machines.
constexpr std::size_t pending_per_machine = 8;

std::size_t heap_bytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

Fleet full_fleet(std::size_t machines, const Policy& policy = {}) {
  FleetShape shape;
  shape.machines = machines;
  shape.pending_tasks = machines * pending_per_machine;
  shape.policy = policy;
  Fleet fleet{std::move(shape)};
  fleet.fill();
  return fleet;
}

// One machine in twenty has just become free. The second argument is `scheduler.shortage.weight`.
void round_with_pending_work(benchmark::State& state) {
  Policy policy;
  policy.shortage_weight = static_cast<double>(state.range(1));
  Fleet fleet = full_fleet(static_cast<std::size_t>(state.range(0)), policy);
  double longest_s = 0;
  for (auto _ : state) {
    state.PauseTiming();
    fleet.advance_clock(1);
    fleet.complete_tasks(20);
    for (const auto& heartbeat : fleet.next_heartbeats(static_cast<std::size_t>(state.range(0))))
      fleet.deliver(heartbeat);
    state.ResumeTiming();
    const auto start = std::chrono::steady_clock::now();
    fleet.run_cycle();
    longest_s = std::max(longest_s, std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
    state.PauseTiming();
    fleet.store_all();
    state.ResumeTiming();
  }
  state.counters["longest_ms"] = longest_s * 1000;
  state.counters["rows"] = static_cast<double>(fleet.scheduler().last_cycle_size().jobs);
  state.counters["columns"] = static_cast<double>(fleet.scheduler().last_cycle_size().machines);
  state.counters["victims"] = static_cast<double>(fleet.scheduler().last_cycle_size().preemption_candidates);
}

// All machines are busy: the round searches for placements and finds none.
void round_of_a_full_fleet(benchmark::State& state) {
  Fleet fleet = full_fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    fleet.advance_clock(1);
    for (const auto& heartbeat : fleet.next_heartbeats(static_cast<std::size_t>(state.range(0))))
      fleet.deliver(heartbeat);
    state.ResumeTiming();
    fleet.run_cycle();
  }
}

void thousand_reports(benchmark::State& state) {
  Fleet fleet = full_fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    fleet.advance_clock(1);
    const auto heartbeats = fleet.next_heartbeats(1000);
    state.ResumeTiming();
    for (const auto& heartbeat : heartbeats) fleet.deliver(heartbeat);
  }
}

void take_over(benchmark::State& state) {
  Fleet fleet = full_fleet(static_cast<std::size_t>(state.range(0)));
  const auto rows = fleet.stored_rows();
  for (auto _ : state) {
    auto scheduler = fleet.load(rows);
    benchmark::DoNotOptimize(scheduler);
  }
  state.counters["jobs"] = static_cast<double>(rows.jobs.size());
  state.counters["machines"] = static_cast<double>(rows.machines.size());
  state.counters["task_rows"] = static_cast<double>(rows.tasks.size());
}

// Measures the bytes per machine and per placed task separately, and the memory of the whole fleet.
void memory(benchmark::State& state) {
  const auto machines = static_cast<std::size_t>(state.range(0));
  double bytes_per_machine = 0;
  double bytes_per_task = 0;
  double total_mb = 0;
  for (auto _ : state) {
    const auto initial_bytes = heap_bytes();
    FleetShape shape;
    shape.machines = machines;
    Fleet fleet{std::move(shape)};
    const auto bytes_with_machines = heap_bytes();
    const auto job_count = fleet.scheduler().jobs().size();
    benchmark::DoNotOptimize(job_count);
    bytes_per_machine = static_cast<double>(bytes_with_machines - initial_bytes) / static_cast<double>(machines);
    fleet.fill();
    bytes_per_task =
        static_cast<double>(heap_bytes() - bytes_with_machines) / static_cast<double>(fleet.placed_tasks());
  }
  {
    const auto initial_bytes = heap_bytes();
    Fleet fleet = full_fleet(machines);
    total_mb = static_cast<double>(heap_bytes() - initial_bytes) / 1e6;
  }
  state.counters["bytes_a_machine_and_its_jobs"] = bytes_per_machine;
  state.counters["bytes_a_placed_task"] = bytes_per_task;
  state.counters["whole_MB"] = total_mb;
}

void machine_counts(benchmark::internal::Benchmark* b) {
  for (const int n : {28, 200, 1400, 5000, 12500}) b->Arg(n);
  b->Unit(benchmark::kMillisecond);
}

void machine_counts_and_shortage_weights(benchmark::internal::Benchmark* b) {
  for (const int n : {28, 200, 1400, 5000, 12500}) b->Args({n, 0})->Args({n, 40});
  b->Unit(benchmark::kMillisecond);
}

BENCHMARK(round_with_pending_work)->Apply(machine_counts_and_shortage_weights)->Iterations(15);
BENCHMARK(round_of_a_full_fleet)->Apply(machine_counts)->Iterations(15);
BENCHMARK(thousand_reports)->Apply(machine_counts)->Iterations(20);
BENCHMARK(take_over)->Apply(machine_counts)->Iterations(3);
BENCHMARK(memory)->Apply(machine_counts)->Iterations(1);

}  // namespace
}  // namespace martenwall::bench

BENCHMARK_MAIN();
