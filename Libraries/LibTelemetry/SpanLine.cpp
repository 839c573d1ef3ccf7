#include <LibTelemetry/Hex.h>
#include <LibTelemetry/SpanWriter.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace Telemetry {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr int otlpStatusError = 2;

    Json attribute(std::string_view key, std::string_view value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    Json spanToJson(Span const& span)
    {
        Json json;
        json["traceId"] = span.context.traceId.toString();
        json["spanId"] = formatHex(span.context.spanId);
        if (span.parentSpanId != 0)
            json["parentSpanId"] = formatHex(span.parentSpanId);
        json["flags"] = span.context.isSampled ? 1 : 0;
        json["name"] = span.name;
        json["kind"] = static_cast<int>(span.kind);
        // OTLP/JSON writes 64-bit integers as text.
        json["startTimeUnixNano"] = std::to_string(span.startNanoseconds);
        json["endTimeUnixNano"] = std::to_string(span.endNanoseconds);
        auto& attributes = json["attributes"] = Json::array();
        for (auto const& [key, value] : span.attributes)
            attributes.push_back(attribute(key, value));
        if (span.isError)
            json["status"] = { { "code", otlpStatusError }, { "message", span.statusMessage } };
        return json;
    }

    std::int64_t parseInteger(std::string const& text)
    {
        std::int64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::vector<SpanAttribute> parseAttributes(Json const& json)
    {
        std::vector<SpanAttribute> attributes;
        for (auto const& entry : json)
            attributes.push_back(
                { entry.at("key").get<std::string>(), entry.at("value").at("stringValue").get<std::string>() });
        return attributes;
    }

    std::optional<Span> spanFromJson(Json const& json)
    {
        auto const traceId = Core::RequestId::parse(json.at("traceId").get<std::string>());
        auto const spanId = parseHex(json.at("spanId").get<std::string>());
        if (!traceId || !spanId)
            return std::nullopt;
        Span span;
        span.context = { *traceId, *spanId, json.value("flags", 0) != 0 };
        span.parentSpanId = parseHex(json.value("parentSpanId", std::string("0"))).value_or(0);
        span.name = json.at("name").get<std::string>();
        auto const kind = json.value("kind", 1);
        span.kind = kind >= 1 && kind <= 3 ? static_cast<SpanKind>(kind) : SpanKind::Internal;
        span.startNanoseconds = parseInteger(json.at("startTimeUnixNano").get<std::string>());
        span.endNanoseconds = parseInteger(json.at("endTimeUnixNano").get<std::string>());
        span.attributes = parseAttributes(json.value("attributes", Json::array()));
        if (json.contains("status")) {
            span.isError = json["status"].value("code", 0) == otlpStatusError;
            span.statusMessage = json["status"].value("message", std::string());
        }
        return span;
    }

} // namespace

std::string formatOtlpLine(Span const& span, std::string_view serviceName, std::string_view host)
{
    Json line;
    auto& resource = line["resourceSpans"][0];
    resource["resource"]["attributes"] = { attribute("service.name", serviceName), attribute("host.name", host) };
    resource["scopeSpans"][0]["spans"] = Json::array({ spanToJson(span) });
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Span> parseOtlpLine(std::string_view line, std::string& host)
{
    auto const json = Json::parse(line, nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    // Lines of other writers may lack any of the fields; nlohmann-json reports that by exceptions.
    try {
        auto const& resource = json.at("resourceSpans").at(0);
        for (auto const& entry : parseAttributes(resource.at("resource").at("attributes"))) {
            if (entry.key == "host.name")
                host = entry.value;
        }
        return spanFromJson(resource.at("scopeSpans").at(0).at("spans").at(0));
    } catch (Json::exception const&) {
        return std::nullopt;
    }
}

} // namespace Telemetry
