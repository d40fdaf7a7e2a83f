#ifndef SOURCE_BASE_OVERLOADED_H_
#define SOURCE_BASE_OVERLOADED_H_

namespace cowslip {

/// \class Overloaded
/// \brief Combines lambdas into one visitor for std::visit.
template <class... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <class... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace cowslip

#endif  // SOURCE_BASE_OVERLOADED_H_
