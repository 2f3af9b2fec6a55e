// A lazily started coroutine. The awaiting coroutine resumes when it ends.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace martenwall::rt {

template <class T>
class Task;

namespace detail {

// At a coroutine's end: goes on with the coroutine that awaits it.
struct FinalAwaiter {
  [[nodiscard]] bool await_ready() const noexcept { return false; }  // called by co_await
  template <class P>
  // Called by co_await; without an awaiting coroutine nothing is resumed.
  [[nodiscard]] std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) const noexcept {
    auto next = h.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}  // called by co_await
};

// What the promises of all results share. The functions are those that the language calls.
struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;
  std::suspend_always initial_suspend() noexcept { return {}; }  // starts when awaited
  FinalAwaiter final_suspend() noexcept { return {}; }           // the owning Task frees the frame
  // Kept for the awaiting coroutine, which gets it thrown.
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {  // of a coroutine with a result
  std::optional<T> value;
  Task<T> get_return_object();  // called by the language
  // Called by co_return.
  void return_value(T v) { value.emplace(std::move(v)); }
  // For the awaiting coroutine, once.
  T result() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {  // of a coroutine without a result
  Task<void> get_return_object();     // called by the language
  void return_void() noexcept {}      // called at the coroutine's end
  // Throws what escaped from the coroutine.
  void result() const {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  // Called by the promise.
  explicit Task(Handle h) : handle_(h) {}
  // Only one task owns a coroutine.
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  Task& operator=(Task&&) = delete;
  // Destroys the coroutine with all that it holds, wherever it stands.
  ~Task() {
    if (handle_) handle_.destroy();
  }

  [[nodiscard]] bool await_ready() const noexcept { return false; }  // called by co_await
  // Called by co_await: starts the coroutine in place of the one that awaits it.
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    handle_.promise().continuation = waiter;
    return handle_;
  }
  // Called by co_await: the result, or what escaped from the coroutine.
  T await_resume() { return handle_.promise().result(); }

 private:
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>{std::coroutine_handle<Promise<T>>::from_promise(*this)};
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>{std::coroutine_handle<Promise<void>>::from_promise(*this)};
}

// Owns itself: starts at once, frees itself at its end. An escaped exception ends the process,
// since no one is left to hear of it.
struct Detached {
  // Required by the language.
  struct promise_type {
    Detached get_return_object() noexcept { return {}; }          // no one holds it
    std::suspend_never initial_suspend() noexcept { return {}; }  // starts at once
    std::suspend_never final_suspend() noexcept { return {}; }    // frees itself
    void return_void() noexcept {}                                // no result
    void unhandled_exception() noexcept { std::terminate(); }     // no one could handle it
  };
};
}  // namespace detail

// Runs the task without an owner: it ends by itself, and whatever it refers to must live until then. Nothing waits for
// it, and an exception that escapes from it ends the process. Whoever calls this says what ends the task.
inline detail::Detached spawn(Task<void> task) { co_await std::move(task); }

}  // namespace martenwall::rt
