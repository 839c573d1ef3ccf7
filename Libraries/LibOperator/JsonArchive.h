#pragma once

#include <LibConfig/TableText.h>
#include <LibConfig/Units.h>
#include <LibOperator/OperatorTypes.h>

#include <nlohmann/json.hpp>

#include <array>
#include <concepts>
#include <limits>
#include <tuple>

/// Conversion between structs and JSON by lists of their fields, `fieldsOf(Tag<T>)`, and of the words of their
/// enumerations, `wordsOf(Tag<E>)`, which state each name once for both directions.
namespace Operator::Archive {

using Json = nlohmann::ordered_json;

template <typename T> struct Tag {
};

template <typename T, typename M> struct FieldOf {
    char const* name;
    M T::*member;
    /// A field that may be absent and then keeps its default.
    bool isOptional;
};
template <typename T, typename M> constexpr FieldOf<T, M> required(char const* name, M T::*member)
{
    return { name, member, false };
}
template <typename T, typename M> constexpr FieldOf<T, M> defaulted(char const* name, M T::*member)
{
    return { name, member, true };
}

template <typename T> struct IsOptional : std::false_type {
};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {
};
template <typename T> struct IsVector : std::false_type {
};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {
};
template <typename T> struct IsNameOrNumber : std::false_type {
};
template <typename T> struct IsNameOrNumber<Core::Name<T>> : std::true_type {
};
template <typename T> struct IsNameOrNumber<Core::Number<T>> : std::true_type {
};
template <typename T>
concept HasFields = requires
{
    fieldsOf(Tag<T> {});
};

template <typename T> Json toJson(T const& value);

/// Where a value stands, and whether unknown fields are faults. They are in requests, where a mistyped optional field
/// must not be ignored; in responses they come from a newer version.
struct Place {
    std::string path;
    bool isStrict { false };
};

/// What the first fault was, with the path of the field.
struct Fault {
    std::string field;
    std::string reason;
};
/// Returns the fault, if any.
template <typename T> std::optional<Fault> fromJson(Json const& json, T& value, Place const& place);

template <typename T> Json structToJson(T const& value)
{
    Json json = Json::object();
    std::apply(
        [&](auto const&... field) {
            [[maybe_unused]] auto const add = [&](auto const& one) {
                auto content = toJson(value.*(one.member));
                if (!content.is_null())
                    json[one.name] = std::move(content);
            };
            (add(field), ...);
        },
        fieldsOf(Tag<T> {}));
    return json;
}

template <typename T> Json toJson(T const& value)
{
    if constexpr (HasFields<T>) {
        return structToJson(value);
    } else if constexpr (IsOptional<T>::value) {
        return value ? toJson(*value) : Json();
    } else if constexpr (IsVector<T>::value) {
        Json json = Json::array();
        for (auto const& element : value)
            json.push_back(toJson(element));
        return json;
    } else if constexpr (IsNameOrNumber<T>::value) {
        return value.value;
    } else if constexpr (std::is_enum_v<T>) {
        return wordsOf(Tag<T> {}).at(static_cast<std::size_t>(value));
    } else if constexpr (std::same_as<T, Core::Duration>) {
        return Config::formatDuration(value);
    } else if constexpr (std::same_as<T, Core::Endpoint>) {
        return value.toString();
    } else if constexpr (std::same_as<T, Core::Digest>) {
        return formatDigest(value);
    } else if constexpr (std::same_as<T, Routing::KeySource>) {
        return Config::formatKeySource(value);
    } else {
        return value;
    }
}

inline Fault mistyped(Place const& place, std::string_view expected)
{
    return { place.path, "expected " + std::string(expected) };
}

template <typename T> std::optional<Fault> structFromJson(Json const& json, T& value, Place const& place)
{
    if (!json.is_object())
        return mistyped(place, "an object");
    std::optional<Fault> fault;
    std::size_t known = 0;
    [[maybe_unused]] auto const read = [&](auto const& field) {
        using Member = std::remove_reference_t<decltype(value.*(field.member))>;
        auto const found = json.find(field.name);
        Place const name { place.path.empty() ? field.name : place.path + "." + field.name, place.isStrict };
        if (found == json.end()) {
            if (!field.isOptional && !IsOptional<Member>::value && !fault)
                fault = Fault { name.path, "is missing" };
            return;
        }
        ++known;
        if (!fault)
            fault = fromJson(*found, value.*(field.member), name);
    };
    std::apply([&](auto const&... field) { (read(field), ...); }, fieldsOf(Tag<T> {}));
    if (!fault && place.isStrict && known != json.size())
        fault = Fault { place.path, "has unknown fields" };
    return fault;
}

/// Reads a text and converts it by a function that returns an optional.
template <typename T, typename Parse>
std::optional<Fault> textFromJson(
    Json const& json, T& value, Place const& place, std::string_view expected, Parse parse)
{
    if (!json.is_string())
        return mistyped(place, expected);
    auto parsed = parse(json.get_ref<std::string const&>());
    if (!parsed)
        return mistyped(place, expected);
    value = std::move(*parsed);
    return std::nullopt;
}

template <std::integral T> std::optional<Fault> integerFromJson(Json const& json, T& value, Place const& place)
{
    if (!json.is_number_integer())
        return mistyped(place, "a whole number");
    auto const isInRange = json.is_number_unsigned() ? std::in_range<T>(json.get<std::uint64_t>())
                                                     : std::in_range<T>(json.get<std::int64_t>());
    if (!isInRange)
        return Fault { place.path, "is out of range" };
    value = json.get<T>();
    return std::nullopt;
}

template <typename T> std::optional<Fault> vectorFromJson(Json const& json, T& value, Place const& place)
{
    if (!json.is_array())
        return mistyped(place, "an array");
    value.clear();
    for (auto const& element : json) {
        Place const name { place.path + "[" + std::to_string(value.size()) + "]", place.isStrict };
        if (auto fault = fromJson(element, value.emplace_back(), name))
            return fault;
    }
    return std::nullopt;
}

template <typename E> std::optional<E> enumFromWord(std::string_view word)
{
    auto const words = wordsOf(Tag<E> {});
    auto const found = std::ranges::find(words, word);
    return found == words.end() ? std::nullopt : std::optional(static_cast<E>(found - words.begin()));
}

inline std::optional<Core::Duration> durationFromText(std::string_view text)
{
    auto const duration = Config::parseDuration(text);
    return duration.error ? std::nullopt : std::optional(duration.value);
}

template <typename T> std::optional<Fault> fromJson(Json const& json, T& value, Place const& place)
{
    if constexpr (HasFields<T>) {
        return structFromJson(json, value, place);
    } else if constexpr (IsOptional<T>::value) {
        return fromJson(json, value.emplace(), place);
    } else if constexpr (IsVector<T>::value) {
        return vectorFromJson(json, value, place);
    } else if constexpr (IsNameOrNumber<T>::value) {
        return fromJson(json, value.value, place);
    } else if constexpr (std::is_enum_v<T>) {
        return textFromJson(json, value, place, "one of the documented words", enumFromWord<T>);
    } else if constexpr (std::same_as<T, Core::Duration>) {
        return textFromJson(json, value, place, "a duration such as 30s", durationFromText);
    } else if constexpr (std::same_as<T, Core::Endpoint>) {
        return textFromJson(json, value, place, "IP:port", Core::Endpoint::parse);
    } else if constexpr (std::same_as<T, Core::Digest>) {
        return textFromJson(json, value, place, "32 hexadecimal digits", parseDigest);
    } else if constexpr (std::same_as<T, Routing::KeySource>) {
        return textFromJson(json, value, place, "a key source", Config::parseKeySource);
    } else if constexpr (std::same_as<T, bool>) {
        if (!json.is_boolean())
            return mistyped(place, "true or false");
        value = json.get<bool>();
        return std::nullopt;
    } else if constexpr (std::same_as<T, std::string>) {
        return textFromJson(json, value, place, "a text", [](std::string const& text) { return std::optional(text); });
    } else {
        return integerFromJson(json, value, place);
    }
}

} // namespace Operator::Archive
