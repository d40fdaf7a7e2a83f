#ifndef SOURCE_BASE_STRONG_NUMBER_H_
#define SOURCE_BASE_STRONG_NUMBER_H_

#include <compare>
#include <functional>
#include <ostream>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class StrongNumber
/// \brief A number with a distinct type for each unit or counter, so that the
/// compiler rejects a number of another.
///
/// `Tag` is an incomplete type that names the unit or counter; `Rep` holds the
/// value.
template <class Tag, class Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : m_value(value) {}

  constexpr Rep value() const { return m_value; }

  constexpr StrongNumber& operator+=(StrongNumber other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    m_value -= other.m_value;
    return *this;
  }
  constexpr StrongNumber& operator++() {
    ++m_value;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.m_value + b.m_value);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.m_value - b.m_value);
  }
  friend constexpr bool operator==(StrongNumber, StrongNumber) = default;
  friend constexpr auto operator<=>(StrongNumber, StrongNumber) = default;

  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.m_value;
  }
  friend void to_json(nlohmann::json& json, const StrongNumber& number) {
    json = number.m_value;
  }
  friend void from_json(const nlohmann::json& json, StrongNumber& number) {
    json.get_to(number.m_value);
  }

 private:
  Rep m_value{};
};

}  // namespace cowslip

template <class Tag, class Rep>
struct std::hash<cowslip::StrongNumber<Tag, Rep>> {
  std::size_t operator()(cowslip::StrongNumber<Tag, Rep> n) const noexcept {
    return std::hash<Rep>()(n.value());
  }
};

#endif  // SOURCE_BASE_STRONG_NUMBER_H_
