// Coroutine tasks. A task starts when it is awaited; the awaiting coroutine resumes when the task ends.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace martenwall::rt {

template <class T>
class Task;

namespace detail {

// Resumes the awaiting coroutine at the end of a coroutine.
struct FinalAwaiter {
  [[nodiscard]] bool await_ready() const noexcept { return false; }  // called by co_await
  template <class P>
  // Called by co_await; resumes nothing if there is no awaiting coroutine.
  [[nodiscard]] std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) const noexcept {
    auto next = h.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}  // called by co_await
};

// Common base of all promise types. The language calls its functions.
struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;
  std::suspend_always initial_suspend() noexcept { return {}; }  // starts when awaited
  FinalAwaiter final_suspend() noexcept { return {}; }           // the owning Task frees the frame
  // Stores the exception; it is rethrown in the awaiting coroutine.
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {  // of a coroutine with a result
  std::optional<T> value;
  Task<T> get_return_object();  // called by the language
  // Called by co_return.
  void return_value(T v) { value.emplace(std::move(v)); }
  // Returns the result to the awaiting coroutine, or rethrows the exception. May be called once.
  T result() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {  // of a coroutine without a result
  Task<void> get_return_object();     // called by the language
  void return_void() noexcept {}      // called at the coroutine's end
  // Rethrows the exception that escaped from the coroutine, if any.
  void result() const {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

// Owner of a lazily started coroutine with a result of type T.
template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  // Called by the promise.
  explicit Task(Handle h) : handle_(h) {}
  // Moves the ownership of the coroutine; it has a single owner.
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  Task& operator=(Task&&) = delete;
  // Destroys the coroutine and its locals, also if it is suspended.
  ~Task() {
    if (handle_) handle_.destroy();
  }

  [[nodiscard]] bool await_ready() const noexcept { return false; }  // called by co_await
  // Called by co_await: transfers control to the coroutine.
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    handle_.promise().continuation = waiter;
    return handle_;
  }
  // Called by co_await: returns the result, or rethrows the exception that escaped from the coroutine.
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

// Coroutine without an owner: starts immediately and frees itself at its end. An escaped exception terminates the
// process, since nothing can catch it.
struct Detached {
  // Required by the language.
  struct promise_type {
    Detached get_return_object() noexcept { return {}; }          // no owner
    std::suspend_never initial_suspend() noexcept { return {}; }  // starts immediately
    std::suspend_never final_suspend() noexcept { return {}; }    // frees itself
    void return_void() noexcept {}                                // no result
    void unhandled_exception() noexcept { std::terminate(); }     // nothing can handle it
  };
};
}  // namespace detail

// Runs the task without an owner. Everything that the task refers to must outlive it. Nothing waits for the task, and
// an exception that escapes from it terminates the process. The caller has to ensure that the task ends, and documents
// how.
inline detail::Detached spawn(Task<void> task) { co_await std::move(task); }

}  // namespace martenwall::rt
