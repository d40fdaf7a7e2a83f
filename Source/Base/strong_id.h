#ifndef SOURCE_BASE_STRONG_ID_H_
#define SOURCE_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class StrongId
/// \brief A string identifier with a distinct type for each kind, so that the
/// compiler rejects an identifier of another kind.
///
/// `Tag` is an incomplete type that names the kind. The identifier is
/// serialized to JSON and CBOR as a plain string.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.m_value;
  }
  friend void to_json(nlohmann::json& json, const StrongId& id) {
    json = id.m_value;
  }
  friend void from_json(const nlohmann::json& json, StrongId& id) {
    json.get_to(id.m_value);
  }

 private:
  std::string m_value;
};

}  // namespace cowslip

template <class Tag>
struct std::hash<cowslip::StrongId<Tag>> {
  std::size_t operator()(const cowslip::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // SOURCE_BASE_STRONG_ID_H_
