#ifndef SOURCE_BASE_RESULT_H_
#define SOURCE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>

#include "Base/error.h"

namespace cowslip {

/// A value or a typed error. Check with `has_value()` before `value()`.
/// Return a value or an `Error` directly; a `Result<void>` returns `Ok()`.
template <class T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// The value of a successful `Result<void>`.
inline auto Ok() {
  return boost::outcome_v2::success();
}

}  // namespace cowslip

#endif  // SOURCE_BASE_RESULT_H_
