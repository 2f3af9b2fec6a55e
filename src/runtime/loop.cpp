#include "runtime/loop.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace martenwall::rt {

namespace {
constexpr Duration min_stall = seconds(1);
constexpr std::size_t max_epoll_events = 256;

auto steady_now() { return std::chrono::steady_clock::now(); }
}  // namespace

Loop::Loop() : Loop([] { return Time{std::chrono::duration_cast<Duration>(steady_now().time_since_epoch())}; }) {}

Loop::Loop(Clock clock) : clock_(std::move(clock)), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  update_time();
}

// The remaining descriptors belong to coroutines that will never be resumed.
Loop::~Loop() {
  for (const auto& [fd, waiters] : waiters_) ::close(fd);
  ::close(epoll_);
}

Time Loop::update_time() {
  const Time now = clock_();
  const Duration gap = now - now_ - expected_wait_;
  const bool stalled = now_ != Time{} && gap >= min_stall;
  now_ = now;
  if (stalled) {
    stall_ = {now, gap};
    if (on_stall_) on_stall_(stall_);
  }
  return now_;
}

void Loop::add(int fd) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.fd = fd;
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  waiters_[fd] = {};
}

void Loop::remove(int fd) {
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  waiters_.erase(fd);
}

Loop::TimerKey Loop::add_timer(Time at, Timer timer) {
  const TimerKey key{at, next_id_++};
  timers_.emplace(key, timer);
  return key;
}

void Loop::IoWait::await_suspend(std::coroutine_handle<> h) {
  handle = h;
  auto& waiters = loop.waiters_[fd];
  (direction == Direction::read ? waiters.reader : waiters.writer) = this;
  key = loop.add_timer(deadline, {h, this});
}

void Loop::Sleep::await_suspend(std::coroutine_handle<> h) { loop.add_timer(until, {h, nullptr}); }

void Loop::wake(IoWait*& slot, bool ready) {
  auto* wait = std::exchange(slot, nullptr);
  if (wait == nullptr) return;
  wait->ready = ready;
  timers_.erase(wait->key);
  ready_.push_back(wait->handle);
}

void Loop::run_timers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const auto timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    if (timer.io != nullptr) {
      auto& waiters = waiters_[timer.io->fd];
      (timer.io->direction == Direction::read ? waiters.reader : waiters.writer) = nullptr;
    }
    ready_.push_back(timer.handle);
  }
}

void Loop::run_ready() {
  while (!ready_.empty()) {
    std::vector<std::coroutine_handle<>> batch;
    batch.swap(ready_);
    for (auto handle : batch) handle.resume();
  }
}

void Loop::dispatch(const epoll_event& event) {
  const auto it = waiters_.find(event.data.fd);
  if (it == waiters_.end()) return;
  constexpr unsigned failed = EPOLLERR | EPOLLHUP;
  if ((event.events & (EPOLLIN | EPOLLRDHUP | failed)) != 0) wake(it->second.reader, true);
  if ((event.events & (EPOLLOUT | failed)) != 0) wake(it->second.writer, true);
}

void Loop::step() {
  run_ready();
  int timeout_ms = 1000;
  if (!timers_.empty()) {
    const auto until_timer = timers_.begin()->first.first - update_time();
    timeout_ms = static_cast<int>(std::clamp<std::int64_t>((until_timer.count() + 999) / 1000, 0, 1000));
  }
  poll_events(timeout_ms);
}

bool Loop::poll() {
  const bool posted = !ready_.empty();
  run_ready();
  return poll_events(0) || posted;
}

bool Loop::poll_events(int timeout_ms) {
  std::array<epoll_event, max_epoll_events> events{};
  expected_wait_ = std::chrono::milliseconds(timeout_ms);
  const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  update_time();
  expected_wait_ = Duration{0};
  for (int i = 0; i < count; ++i) dispatch(events.at(static_cast<std::size_t>(i)));
  run_timers();
  const bool has_ready = !ready_.empty();
  run_ready();
  return has_ready;
}

void Loop::run() {
  for (;;) step();
}

void Event::Wait::await_suspend(std::coroutine_handle<> h) {
  handle = h;
  position = event.waiting_.insert(event.waiting_.end(), this);
  key = event.loop_.add_timer(deadline, {h, nullptr});
}

bool Event::Wait::await_resume() noexcept {
  if (!notified) event.waiting_.erase(position);
  return notified;
}

void Event::notify() {
  for (auto* wait : std::exchange(waiting_, {})) {
    wait->notified = loop_.timers_.erase(wait->key) > 0;
    if (wait->notified) {
      loop_.ready_.push_back(wait->handle);
    } else {
      // The deadline passed in this iteration, so the handle is already queued.
      wait->notified = true;
    }
  }
}

}  // namespace martenwall::rt
