#include <LibTelemetry/EventLine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace Telemetry {

namespace {

    using Json = nlohmann::ordered_json;

    Json toJson(FieldValue const& value)
    {
        return std::visit([](auto const& content) { return Json(content); }, value);
    }

    std::string dump(Json const& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    bool needsQuotes(std::string_view text)
    {
        return text.empty() || std::ranges::any_of(text, [](char c) {
            return static_cast<unsigned char>(c) <= ' ' || static_cast<unsigned char>(c) >= 0x7f || c == '"' || c == '='
                || c == '\\';
        });
    }

    std::string toText(FieldValue const& value)
    {
        auto const* text = std::get_if<std::string_view>(&value);
        return text && !needsQuotes(*text) ? std::string(*text) : dump(toJson(value));
    }

} // namespace

std::string formatUtc(std::int64_t wallMilliseconds)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    auto milliseconds = wallMilliseconds % millisecondsPerSecond;
    if (milliseconds < 0)
        milliseconds += millisecondsPerSecond;
    auto const seconds = static_cast<std::time_t>((wallMilliseconds - milliseconds) / millisecondsPerSecond);
    std::tm time {};
    gmtime_r(&seconds, &time);
    std::array<char, 40> text {};
    auto const length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &time);
    std::array<char, 16> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(milliseconds));
    return std::string(text.data(), length) + fraction.data();
}

std::string formatJson(EventLine const& line)
{
    Json json;
    json["time"] = formatUtc(line.wallMilliseconds);
    json["level"] = toString(line.definition.level);
    json["event"] = static_cast<std::uint16_t>(line.definition.id);
    json["name"] = line.definition.name;
    json["host"] = line.host;
    if (line.suppressed > 0)
        json["suppressed"] = line.suppressed;
    if (!line.fields.empty()) {
        auto& fields = json["fields"];
        for (auto const& field : line.fields)
            fields[std::string(field.name)] = toJson(field.value);
    }
    return dump(json);
}

std::string formatKeyValue(EventLine const& line)
{
    std::string text;
    auto const add = [&](std::string_view key, FieldValue const& value) {
        text.append(text.empty() ? "" : " ").append(key).append("=").append(toText(value));
    };
    auto const time = formatUtc(line.wallMilliseconds);
    add("time", std::string_view(time));
    add("level", toString(line.definition.level));
    add("event", static_cast<std::uint64_t>(line.definition.id));
    add("name", line.definition.name);
    add("host", line.host);
    if (line.suppressed > 0)
        add("suppressed", line.suppressed);
    for (auto const& field : line.fields)
        add(field.name, field.value);
    return text;
}

} // namespace Telemetry
