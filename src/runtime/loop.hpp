// Single-threaded event loop on epoll: descriptor readiness, timers and coroutine wake-ups.
#pragma once
#include <sys/epoll.h>

#include <coroutine>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.hpp"

namespace martenwall::rt {

// Runs all coroutines of a process, one at a time: between two suspensions of a coroutine, no other one runs. `now` is
// the time of the current iteration; it is constant until the next iteration or a call of `update_time`.
class Loop {
 public:
  using TimerKey = std::pair<Time, std::uint64_t>;

  // Time source; tests use a manually advanced clock.
  using Clock = std::function<Time()>;
  // Uses the steady clock.
  Loop();
  // Uses another clock.
  explicit Loop(Clock clock);
  // Does not destroy suspended coroutines.
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  Loop(Loop&&) = delete;
  Loop& operator=(Loop&&) = delete;

  // Returns the time of the current iteration.
  [[nodiscard]] Time now() const { return now_; }
  // Reads the clock and returns the time, for decisions on which other processes rely.
  Time update_time();
  // Period of one second or more in which the process did not run (frozen, or not scheduled).
  struct Stall {
    Time ended{};
    Duration length{0};
  };
  // Returns the latest stall; all zero if there was none.
  [[nodiscard]] const Stall& last_stall() const { return stall_; }
  // Sets a callback for every stall, which runs before any coroutine is resumed.
  void on_stall(std::function<void(const Stall&)> call) { on_stall_ = std::move(call); }

  // Runs iterations forever.
  [[noreturn]] void run();
  // Runs one iteration over timers and ready descriptors; waits for the next event.
  void step();
  // Runs one iteration without waiting, for callers that advance the clock. Returns false if there was nothing to do.
  bool poll();

  // Registers a descriptor for `wait_io`; Socket registers its own.
  void add(int fd);
  // Unregisters a descriptor. Resumes no coroutine: none may be waiting on the descriptor.
  void remove(int fd);
  // Resumes the coroutine in this iteration or the next.
  void post(std::coroutine_handle<> h) { ready_.push_back(h); }

  // Kind of readiness to wait for.
  enum class Direction { read, write };
  // Resumes with true once the descriptor may be ready, with false at the deadline.
  struct IoWait {
    Loop& loop;
    int fd;
    Direction direction;
    Time deadline;
    TimerKey key{};
    bool ready = false;
    std::coroutine_handle<> handle{};
    [[nodiscard]] bool await_ready() const noexcept { return false; }
    // Called by co_await.
    void await_suspend(std::coroutine_handle<> h);
    [[nodiscard]] bool await_resume() const noexcept { return ready; }
  };
  // Waits for readiness. At most one reader and one writer may wait on a descriptor at a time.
  IoWait wait_io(int fd, Direction direction, Time deadline) { return IoWait{*this, fd, direction, deadline}; }

  // Resumes at the given time.
  struct Sleep {
    Loop& loop;
    Time until;
    [[nodiscard]] bool await_ready() const noexcept { return false; }
    // Called by co_await.
    void await_suspend(std::coroutine_handle<> h);
    void await_resume() const noexcept {}  // called by co_await
  };
  // Resumes after the duration, which counts from the time of the current iteration.
  Sleep sleep(Duration duration) { return Sleep{*this, now_ + duration}; }

 private:
  friend class Event;
  struct Waiters {
    IoWait* reader = nullptr;
    IoWait* writer = nullptr;
  };
  struct Timer {
    std::coroutine_handle<> handle;
    IoWait* io = nullptr;
  };
  TimerKey add_timer(Time at, Timer timer);
  void wake(IoWait*& slot, bool ready);
  void run_timers();
  void run_ready();
  bool poll_events(int timeout_ms);
  void dispatch(const epoll_event& event);

  Clock clock_;
  int epoll_ = -1;
  Time now_{};
  Duration expected_wait_{0};  // timeout of the current wait for events
  Stall stall_;
  std::function<void(const Stall&)> on_stall_;
  std::uint64_t next_id_ = 0;
  std::map<TimerKey, Timer> timers_;
  std::unordered_map<int, Waiters> waiters_;
  std::vector<std::coroutine_handle<>> ready_;
};

// Wakes waiting coroutines: each waits until the next `notify` or until its deadline.
class Event {
 public:
  // The loop must outlive the event, and the event must outlive its waiters.
  explicit Event(Loop& loop) : loop_(loop) {}
  // Wakes all current waiters, in the order in which they began to wait, once the caller suspends. Later waiters are
  // not woken.
  void notify();

  // Resumes with true once notified, with false at the deadline.
  struct Wait {
    Event& event;
    Time deadline;
    std::list<Wait*>::iterator position{};
    Loop::TimerKey key{};
    bool notified = false;
    std::coroutine_handle<> handle{};
    [[nodiscard]] bool await_ready() const noexcept { return false; }
    // Called by co_await.
    void await_suspend(std::coroutine_handle<> h);
    bool await_resume() noexcept;  // called by co_await
  };
  // Waits until notified or until the deadline. In either case the caller has to recheck its condition.
  Wait wait(Time deadline) { return Wait{*this, deadline}; }
  // Waits with a timeout that counts from the time of the current iteration.
  Wait wait_for(Duration timeout) { return Wait{*this, loop_.now() + timeout}; }

 private:
  Loop& loop_;
  std::list<Wait*> waiting_;
};

}  // namespace martenwall::rt
