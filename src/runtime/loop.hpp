// One thread's event loop on epoll: readiness, timers and wake-ups of coroutines.
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

// Runs all coroutines of a process, one at a time: between two suspensions nothing else changes. `now` is the time of
// the current pass, the same until the loop goes on or `update_time` is called.
class Loop {
 public:
  using TimerKey = std::pair<Time, std::uint64_t>;

  // Where the time comes from; tests move it by hand.
  using Clock = std::function<Time()>;
  // On the steady clock.
  Loop();
  // On another clock.
  explicit Loop(Clock clock);
  // Suspended coroutines are not destroyed with it.
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  Loop(Loop&&) = delete;
  Loop& operator=(Loop&&) = delete;

  // The time of the current pass.
  [[nodiscard]] Time now() const { return now_; }
  // Reads the clock anew, for decisions that bind others.
  Time update_time();
  // When this process last stood still (frozen, or without its processor) for a second or more, and how long.
  struct Stall {
    Time ended{};
    Duration length{0};
  };
  // All zero where there was none.
  [[nodiscard]] const Stall& last_stall() const { return stall_; }
  // Called with each, before anything else runs.
  void on_stall(std::function<void(const Stall&)> call) { on_stall_ = std::move(call); }

  // Passes for ever.
  [[noreturn]] void run();
  void step();  // one pass over timers and readiness
  bool poll();  // the same without waiting, for whoever moves the clock; false where nothing was to be done

  // Watches a descriptor for `wait_io`; Socket does so for its own.
  void add(int fd);
  void remove(int fd);  // wakes nobody: the owner must not wait on it any more
  // Resumes the coroutine in this pass or the next.
  void post(std::coroutine_handle<> h) { ready_.push_back(h); }

  // What a descriptor is waited for.
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
  // One reader and one writer at a time may wait on a descriptor.
  IoWait wait_io(int fd, Direction d, Time deadline) { return IoWait{*this, fd, d, deadline}; }

  // Resumes at a time.
  struct Sleep {
    Loop& loop;
    Time until;
    [[nodiscard]] bool await_ready() const noexcept { return false; }
    // Called by co_await.
    void await_suspend(std::coroutine_handle<> h);
    void await_resume() const noexcept {}  // called by co_await
  };
  // Resumes after the duration, counted from the current pass.
  Sleep sleep(Duration d) { return Sleep{*this, now_ + d}; }

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
  TimerKey add_timer(Time at, Timer t);
  void wake(IoWait*& slot, bool ready);
  void run_timers();
  void run_ready();
  bool poll_events(int timeout_ms);
  void dispatch(const epoll_event& e);

  Clock clock_;
  int epoll_ = -1;
  Time now_{};
  Duration expected_wait_{0};  // the wait that is under way
  Stall stall_;
  std::function<void(const Stall&)> on_stall_;
  std::uint64_t next_id_ = 0;
  std::map<TimerKey, Timer> timers_;
  std::unordered_map<int, Waiters> waiters_;
  std::vector<std::coroutine_handle<>> ready_;
};

// Coroutines wait until it is set (or a deadline); `notify` wakes all that wait now.
class Event {
 public:
  // The loop must outlive it, and it must outlive whoever waits.
  explicit Event(Loop& loop) : loop_(loop) {}
  // Wakes all that wait now, in their order, once the caller suspends. Who waits later is not woken by it.
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
  // A condition that was waited for has to be checked again after either.
  Wait wait(Time deadline) { return Wait{*this, deadline}; }
  // The same with a duration, counted from the current pass.
  Wait wait_for(Duration d) { return Wait{*this, loop_.now() + d}; }

 private:
  Loop& loop_;
  std::list<Wait*> waiting_;
};

}  // namespace martenwall::rt
