#ifndef ROSEMARYWINCH_CORE_ERROR_H_
#define ROSEMARYWINCH_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "rosemarywinch/schema/errors.h"

namespace rosemarywinch {

/// Typed error: a stable id and details of the occurrence.
struct Error {
  ErrorId id = ErrorId::kNone;
  std::string detail;

  /// Returns "E<number> <text>: <detail>; remedy: <remedy>"; detail and remedy
  /// are left out when empty.
  std::string Message() const;

  /// Returns the HTTP status for the error, 500 where the schema sets none.
  int HttpStatus() const;
};

/// Return value of type `T`, or an error that propagates to a handler. Must not
/// leave its thread; see Outcome.
template <typename T>
using Result = boost::leaf::result<T>;

/// Creates an error to return: `return Fail(ErrorId::kBadPath, path);`.
inline boost::leaf::error_id Fail(ErrorId id, std::string detail = {}) {
  return boost::leaf::new_error(Error{id, std::move(detail)});
}

/// Value of type `T` or an error, for storing and moving between threads.
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

/// Runs `body`, which returns Result<T>, and converts the result to an Outcome.
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

/// Converts a stored Outcome back to a Result.
template <typename T>
Result<T> ToResult(Outcome<T> outcome) {
  if (auto* error = std::get_if<Error>(&outcome)) {
    return boost::leaf::new_error(std::move(*error));
  }
  return std::get<T>(std::move(outcome));
}

/// Empty value type for a Result or Outcome that carries no data.
struct Done {};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_ERROR_H_
