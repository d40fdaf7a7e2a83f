#ifndef SOURCE_BASE_MESSAGE_CODEC_H_
#define SOURCE_BASE_MESSAGE_CODEC_H_

#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "Base/result.h"

namespace cowslip {

/// Encodes one alternative of a message variant as an object with a `type`.
/// Each alternative has `static constexpr char kType[]` and JSON conversions
/// (NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE).
template <class... Messages>
nlohmann::json EncodeMessage(const std::variant<Messages...>& message) {
  return std::visit(
      [](const auto& alternative) {
        nlohmann::json json = alternative;
        if (json.is_null()) {
          json = nlohmann::json::object();
        }
        json["type"] = alternative.kType;
        return json;
      },
      message);
}

/// Decodes one message. Errors: kMalformedMessage, for an unknown type, a
/// missing field or a field of the wrong type.
template <class T>
Result<T> DecodeStruct(const nlohmann::json& json) {
  try {
    return json.get<T>();
  } catch (const nlohmann::json::exception& error) {
    return Error(ErrorKind::kMalformedMessage,
                 std::string("Upgrade the sender: ") + error.what() + ".");
  }
}

namespace internal {

template <class Variant, class Message>
bool TryDecode(const std::string& type,
               const nlohmann::json& json,
               Result<Variant>& result) {
  if (type != Message::kType) {
    return false;
  }
  Result<Message> message = DecodeStruct<Message>(json);
  if (message.has_value()) {
    result = Variant(std::move(message.value()));
  } else {
    result = message.error();
  }
  return true;
}

template <class Variant>
struct VariantDecoder;

template <class... Messages>
struct VariantDecoder<std::variant<Messages...>> {
  using Variant = std::variant<Messages...>;
  static Result<Variant> Decode(const nlohmann::json& json) {
    Result<Variant> result =
        Error(ErrorKind::kMalformedMessage,
              "The message has an unknown type. Upgrade the older process.");
    if (!json.is_object()) {
      return result;
    }
    const auto type = json.find("type");
    if (type == json.end() || !type->is_string()) {
      return result;
    }
    const auto& name = type->template get_ref<const std::string&>();
    (TryDecode<Variant, Messages>(name, json, result) || ...);
    return result;
  }
};

}  // namespace internal

/// Decodes any alternative of a message variant. Errors: kMalformedMessage.
template <class Variant>
Result<Variant> DecodeMessage(const nlohmann::json& json) {
  return internal::VariantDecoder<Variant>::Decode(json);
}

}  // namespace cowslip

#endif  // SOURCE_BASE_MESSAGE_CODEC_H_
