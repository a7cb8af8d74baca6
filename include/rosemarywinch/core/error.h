#ifndef ROSEMARYWINCH_CORE_ERROR_H_
#define ROSEMARYWINCH_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "rosemarywinch/schema/errors.h"

namespace rosemarywinch {

/// A typed failure: its stable id and what it concerned.
struct Error {
  ErrorId id = ErrorId::kNone;
  std::string detail;

  /// Returns "E102 what happened: detail; remedy".
  std::string Message() const;

  /// Returns the HTTP status that carries the error, 500 where none is set.
  int HttpStatus() const;
};

/// A value of type `T` or a failure that is on its way to a handler.
template <typename T>
using Result = boost::leaf::result<T>;

/// Starts a failure: `return Fail(ErrorId::kBadPath, path);`.
inline boost::leaf::error_id Fail(ErrorId id, std::string detail = {}) {
  return boost::leaf::new_error(Error{id, std::move(detail)});
}

/// A value or a failure that can be stored and moved between threads.
template <typename T>
using Outcome = std::variant<T, Error>;

namespace detail {

template <typename R>
struct ResultValue;
template <typename T>
struct ResultValue<Result<T>> {
  using Type = T;
};

}  // namespace detail

/// Runs `body`, which returns Result<T>, and stores what came of it.
template <typename Body,
          typename T =
              typename detail::ResultValue<std::invoke_result_t<Body&>>::Type>
Outcome<T> Capture(Body&& body) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        BOOST_LEAF_AUTO(value, body());
        return Outcome<T>(std::move(value));
      },
      [](const Error& error) { return Outcome<T>(error); },
      [] {
        return Outcome<T>(Error{ErrorId::kMalformedMessage, {}});
      });
}

/// Turns a stored outcome back into a Result.
template <typename T>
Result<T> ToResult(Outcome<T> outcome) {
  if (auto* error = std::get_if<Error>(&outcome)) {
    return boost::leaf::new_error(std::move(*error));
  }
  return std::get<T>(std::move(outcome));
}

/// Stands for "no value" in Result and Outcome.
struct Done {};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_ERROR_H_
