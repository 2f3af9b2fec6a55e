// What a round, a thousand reports and a take-over's load cost, by the size of the fleet; and the memory per thing.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "fleet.hpp"

namespace martenwall::bench {
namespace {

// Eight pending tasks a machine: 100,000 at 12,500 machines.
constexpr std::size_t pending_per_machine = 8;

std::size_t heap_bytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

Fleet full(std::size_t machines, const Policy& policy = {}) {
  FleetShape kind;
  kind.machines = machines;
  kind.pending = machines * pending_per_machine;
  kind.policy = policy;
  Fleet f{std::move(kind)};
  f.fill();
  return f;
}

// One machine in twenty has just become free. The second number: `scheduler.shortage.weight`.
void round_with_pending_work(benchmark::State& state) {
  Policy policy;
  policy.shortage_weight = static_cast<double>(state.range(1));
  Fleet f = full(static_cast<std::size_t>(state.range(0)), policy);
  double longest = 0;
  for (auto _ : state) {
    state.PauseTiming();
    f.pass(1);
    f.complete(20);
    for (const auto& r : f.heartbeats(static_cast<std::size_t>(state.range(0)))) f.report(r);
    state.ResumeTiming();
    const auto began = std::chrono::steady_clock::now();
    f.round();
    longest = std::max(longest, std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
    state.PauseTiming();
    f.store_all();
    state.ResumeTiming();
  }
  state.counters["longest_ms"] = longest * 1000;
  state.counters["rows"] = static_cast<double>(f.scheduler().last_cycle_size().jobs);
  state.counters["columns"] = static_cast<double>(f.scheduler().last_cycle_size().machines);
  state.counters["victims"] = static_cast<double>(f.scheduler().last_cycle_size().preemption_candidates);
}

// Everything is busy: a round that finds nothing to do but looks for it.
void round_of_a_full_fleet(benchmark::State& state) {
  Fleet f = full(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    f.pass(1);
    for (const auto& r : f.heartbeats(static_cast<std::size_t>(state.range(0)))) f.report(r);
    state.ResumeTiming();
    f.round();
  }
}

void thousand_reports(benchmark::State& state) {
  Fleet f = full(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    f.pass(1);
    const auto reports = f.heartbeats(1000);
    state.ResumeTiming();
    for (const auto& r : reports) f.report(r);
  }
}

void take_over(benchmark::State& state) {
  Fleet f = full(static_cast<std::size_t>(state.range(0)));
  const auto rows = f.jobs();
  for (auto _ : state) {
    auto s = f.load(rows);
    benchmark::DoNotOptimize(s);
  }
  state.counters["jobs"] = static_cast<double>(rows.jobs.size());
  state.counters["machines"] = static_cast<double>(rows.machines.size());
  state.counters["task_rows"] = static_cast<double>(rows.tasks.size());
}

// Bytes a machine, a placed task and a job, one kind at a time; and of the whole.
void memory(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  double per_machine = 0;
  double per_task = 0;
  double whole_mb = 0;
  for (auto _ : state) {
    const auto empty = heap_bytes();
    FleetShape kind;
    kind.machines = n;
    Fleet bare{std::move(kind)};
    const auto with_machines = heap_bytes();
    const auto rows_before = bare.scheduler().jobs().size();
    benchmark::DoNotOptimize(rows_before);
    per_machine = static_cast<double>(with_machines - empty) / static_cast<double>(n);
    bare.fill();
    per_task = static_cast<double>(heap_bytes() - with_machines) / static_cast<double>(bare.placed());
  }
  {
    const auto empty = heap_bytes();
    Fleet f = full(n);
    whole_mb = static_cast<double>(heap_bytes() - empty) / 1e6;
  }
  state.counters["bytes_a_machine_and_its_jobs"] = per_machine;
  state.counters["bytes_a_placed_task"] = per_task;
  state.counters["whole_MB"] = whole_mb;
}

void sizes(benchmark::internal::Benchmark* b) {
  for (const int n : {28, 200, 1400, 5000, 12500}) b->Arg(n);
  b->Unit(benchmark::kMillisecond);
}

void sizes_with_and_without_shortage(benchmark::internal::Benchmark* b) {
  for (const int n : {28, 200, 1400, 5000, 12500}) b->Args({n, 0})->Args({n, 40});
  b->Unit(benchmark::kMillisecond);
}

BENCHMARK(round_with_pending_work)->Apply(sizes_with_and_without_shortage)->Iterations(15);
BENCHMARK(round_of_a_full_fleet)->Apply(sizes)->Iterations(15);
BENCHMARK(thousand_reports)->Apply(sizes)->Iterations(20);
BENCHMARK(take_over)->Apply(sizes)->Iterations(3);
BENCHMARK(memory)->Apply(sizes)->Iterations(1);

}  // namespace
}  // namespace martenwall::bench

BENCHMARK_MAIN();
