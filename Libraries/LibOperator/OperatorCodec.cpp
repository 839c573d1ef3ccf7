#include <LibCore/JsonReader.h>
#include <LibOperator/OperatorCodec.h>
#include <LibOperator/OperatorFields.h>

namespace Operator {

namespace {

    using Archive::Json;

    /// In the order of `OperatorError`.
    constexpr std::array<std::string_view, 8> errorWords { "not-leader", "conflict", "edit-id-reused", "invalid-edit",
        "not-found", "unavailable", "timeout", "bad-request" };
    static_assert(errorWords.size() == std::variant_size_v<OperatorError>);

    std::string dump(Json const& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    BadRequest toBadRequest(Archive::Fault fault)
    {
        return { fault.field.empty() ? "body" : std::move(fault.field), std::move(fault.reason) };
    }

    Core::Result<Json, BadRequest> parse(std::string_view text)
    {
        auto json = Core::readJson(text, Core::JsonFormat::Text);
        if (json.isError())
            return BadRequest { "body", json.error().reason };
        return std::move(json).value();
    }

    template <typename T>
    constexpr bool isRequest
        = std::same_as<T,
              EditRequest> || std::same_as<T, Archive::ServiceForm> || std::same_as<T, LiftQuarantineRequest>;

    template <typename T> Core::Result<T, BadRequest> decodeStruct(std::string_view text)
    {
        auto const json = TRY(parse(text));
        T value;
        if (auto fault = Archive::fromJson(json, value, { {}, isRequest<T> }))
            return toBadRequest(std::move(*fault));
        return value;
    }

    template <typename T> std::string encodeService(T const& request)
    {
        Archive::ServiceForm form { request.id, {}, {}, request.author, request.comment };
        if (auto const* server = std::get_if<Core::ServerName>(&request.target))
            form.server = *server;
        else
            form.domain = std::get<Core::FailureDomain>(request.target);
        return dump(Archive::toJson(form));
    }

    template <typename T> Core::Result<T, BadRequest> decodeService(std::string_view text)
    {
        auto form = TRY(decodeStruct<Archive::ServiceForm>(text));
        if (form.server.has_value() == form.domain.has_value())
            return BadRequest { "server", "exactly one of server and domain is needed" };
        T request { std::move(form.id), {}, std::move(form.author), std::move(form.comment) };
        if (form.server)
            request.target = std::move(*form.server);
        else
            request.target = std::move(*form.domain);
        return request;
    }

    template <typename T> std::optional<OperatorError> decodeDetails(Json const& json)
    {
        T details;
        if (Archive::fromJson(json, details, {}))
            return std::nullopt;
        return details;
    }

    template <std::size_t... Index>
    std::optional<OperatorError> decodeAlternative(std::size_t index, Json const& json, std::index_sequence<Index...>)
    {
        using Decoder = std::optional<OperatorError> (*)(Json const&);
        constexpr std::array<Decoder, sizeof...(Index)> decoders {
            &decodeDetails<std::variant_alternative_t<Index, OperatorError>>...
        };
        return decoders.at(index)(json);
    }

} // namespace

#define PRIMROSESHIFT_DEFINE_CODEC(type)                                                                               \
    template <> std::string encode<type>(type const& value) { return dump(Archive::toJson(value)); }                   \
    template <> Core::Result<type, BadRequest> decode<type>(std::string_view json) { return decodeStruct<type>(json); }
PRIMROSESHIFT_OPERATOR_PLAIN_MESSAGES(PRIMROSESHIFT_DEFINE_CODEC)
#undef PRIMROSESHIFT_DEFINE_CODEC

template <> std::string encode<DrainRequest>(DrainRequest const& request) { return encodeService(request); }
template <> Core::Result<DrainRequest, BadRequest> decode<DrainRequest>(std::string_view json)
{
    return decodeService<DrainRequest>(json);
}

template <> std::string encode<ReturnRequest>(ReturnRequest const& request) { return encodeService(request); }
template <> Core::Result<ReturnRequest, BadRequest> decode<ReturnRequest>(std::string_view json)
{
    return decodeService<ReturnRequest>(json);
}

std::string encodeError(OperatorError const& error)
{
    Json json;
    json["error"] = errorWords.at(error.index());
    json["message"] = describe(error);
    json["details"] = std::visit([](auto const& details) { return Archive::toJson(details); }, error);
    return dump(json);
}

std::optional<OperatorError> decodeError(std::string_view text)
{
    auto const document = Core::readJson(text, Core::JsonFormat::Text);
    if (document.isError())
        return std::nullopt;
    auto const& json = document.value();
    if (!json.is_object() || !json.contains("error") || !json.contains("details") || !json["error"].is_string())
        return std::nullopt;
    auto const word = std::ranges::find(errorWords, json["error"].get_ref<std::string const&>());
    if (word == errorWords.end())
        return std::nullopt;
    return decodeAlternative(static_cast<std::size_t>(word - errorWords.begin()), json["details"],
        std::make_index_sequence<errorWords.size()> {});
}

} // namespace Operator
