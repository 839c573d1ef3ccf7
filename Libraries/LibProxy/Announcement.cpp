#include <LibCore/JsonReader.h>
#include <LibProxy/Announcement.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace Proxy {

using Json = nlohmann::json;

namespace {

    template <typename T> using Parsed = Core::Result<T, AnnouncementError>;

    AnnouncementError fault(AnnouncementErrorKind kind, std::string_view field) { return { kind, std::string(field) }; }

    /// Names become parts of log lines and tables, so they are short and printable.
    constexpr std::size_t maxNameBytes = 128;

    Parsed<Json> parseObject(std::string_view text)
    {
        if (text.size() > maxAnnouncementBytes)
            return fault(AnnouncementErrorKind::TooLarge, "");
        auto json = Core::readJson(text, Core::JsonFormat::Text);
        if (json.isError() || !json.value().is_object())
            return fault(AnnouncementErrorKind::NotJson, "");
        return std::move(json).value();
    }

    Parsed<Json const*> member(Json const& json, char const* field)
    {
        auto const found = json.find(field);
        if (found == json.end())
            return fault(AnnouncementErrorKind::MissingField, field);
        return &*found;
    }

    Parsed<std::string> text(Json const& json, char const* field)
    {
        auto const* value = TRY(member(json, field));
        if (!value->is_string())
            return fault(AnnouncementErrorKind::WrongType, field);
        auto result = value->get<std::string>();
        auto const isPrintable = [](char c) { return c > ' ' && c < '\x7f' && c != '"' && c != '\\'; };
        if (result.empty() || result.size() > maxNameBytes || !std::ranges::all_of(result, isPrintable))
            return fault(AnnouncementErrorKind::OutOfRange, field);
        return result;
    }

    Parsed<std::uint64_t> number(Json const& json, char const* field, std::uint64_t min,
        std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
    {
        auto const* value = TRY(member(json, field));
        if (!value->is_number_integer())
            return fault(AnnouncementErrorKind::WrongType, field);
        if (!value->is_number_unsigned())
            return fault(AnnouncementErrorKind::OutOfRange, field);
        auto const result = value->get<std::uint64_t>();
        if (result < min || result > max)
            return fault(AnnouncementErrorKind::OutOfRange, field);
        return result;
    }

    Parsed<std::uint32_t> number32(Json const& json, char const* field, std::uint32_t min)
    {
        return static_cast<std::uint32_t>(TRY(number(json, field, min, std::numeric_limits<std::uint32_t>::max())));
    }

    Parsed<bool> flag(Json const& json, char const* field)
    {
        auto const* value = TRY(member(json, field));
        if (!value->is_boolean())
            return fault(AnnouncementErrorKind::WrongType, field);
        return value->get<bool>();
    }

    Parsed<Json const*> array(Json const& json, char const* field)
    {
        auto const* value = TRY(member(json, field));
        if (!value->is_array())
            return fault(AnnouncementErrorKind::WrongType, field);
        return value;
    }

    Parsed<Core::Endpoint> endpoint(Json const& json, char const* field)
    {
        auto result = Core::Endpoint::parse(TRY(text(json, field)));
        if (!result)
            return fault(AnnouncementErrorKind::OutOfRange, field);
        return std::move(*result);
    }

    Parsed<LoadReport> parseLoad(Json const& json)
    {
        auto const* load = TRY(member(json, "load"));
        if (!load->is_object())
            return fault(AnnouncementErrorKind::WrongType, "load");
        auto const* utilization = TRY(member(*load, "utilization"));
        if (!utilization->is_number())
            return fault(AnnouncementErrorKind::WrongType, "utilization");
        return LoadReport { .inFlight = TRY(number32(*load, "inFlight", 0)),
            .queued = TRY(number32(*load, "queued", 0)),
            .utilization = std::clamp(utilization->get<double>(), 0.0, 1.0) };
    }

    Parsed<std::vector<ReleasedSlot>> parseReleased(Json const& json)
    {
        std::vector<ReleasedSlot> result;
        for (auto const& entry : *TRY(array(json, "releasedSlots"))) {
            if (!entry.is_object())
                return fault(AnnouncementErrorKind::WrongType, "releasedSlots");
            result.push_back({ { TRY(number(entry, "slot", 0)) }, { TRY(number(entry, "epoch", 0)) } });
        }
        return result;
    }

    Parsed<std::vector<SlotGrant>> parseGrants(Json const& json)
    {
        std::vector<SlotGrant> result;
        for (auto const& entry : *TRY(array(json, "grants"))) {
            if (!entry.is_object())
                return fault(AnnouncementErrorKind::WrongType, "grants");
            auto const first = TRY(number(entry, "first", 0));
            result.push_back({ { first }, { TRY(number(entry, "last", first)) }, { TRY(number(entry, "epoch", 0)) } });
        }
        return result;
    }

} // namespace

Core::Result<Announcement, AnnouncementError> parseAnnouncement(std::string_view document)
{
    auto const json = TRY(parseObject(document));
    Announcement announcement;
    announcement.name = { TRY(text(json, "name")) };
    announcement.pool = { TRY(text(json, "pool")) };
    announcement.endpoint = TRY(endpoint(json, "address"));
    announcement.failureDomain = { TRY(text(json, "failureDomain")) };
    announcement.incarnation = { TRY(number(json, "incarnation", 0)) };
    announcement.slots = TRY(number32(json, "slots", 1));
    announcement.connections = TRY(number32(json, "connections", 1));
    announcement.checksFencing = TRY(flag(json, "checksFencing"));
    announcement.isDraining = TRY(flag(json, "draining"));
    announcement.load = TRY(parseLoad(json));
    announcement.releasedSlots = TRY(parseReleased(json));
    return announcement;
}

Core::Result<AnnounceReply, AnnouncementError> parseAnnounceReply(std::string_view document)
{
    constexpr std::uint64_t maxTimeToLiveMilliseconds = 60'000;
    auto const json = TRY(parseObject(document));
    AnnounceReply reply;
    reply.grants = TRY(parseGrants(json));
    reply.timeToLive = std::chrono::milliseconds(TRY(number(json, "timeToLiveMs", 0, maxTimeToLiveMilliseconds)));
    for (auto const& slot : *TRY(array(json, "slotsToRelease"))) {
        if (!slot.is_number_unsigned())
            return fault(AnnouncementErrorKind::WrongType, "slotsToRelease");
        reply.slotsToRelease.push_back({ slot.get<std::uint64_t>() });
    }
    return reply;
}

std::string toJson(Announcement const& announcement)
{
    auto released = Json::array();
    for (auto const& entry : announcement.releasedSlots)
        released.push_back({ { "slot", entry.slot.value }, { "epoch", entry.epoch.value } });
    return Json {
        { "name", announcement.name.value }, { "pool", announcement.pool.value },
        { "address", announcement.endpoint.toString() }, { "failureDomain", announcement.failureDomain.value },
        { "incarnation", announcement.incarnation.value }, { "slots", announcement.slots },
        { "connections", announcement.connections }, { "checksFencing", announcement.checksFencing },
        { "draining", announcement.isDraining },
        { "load",
            { { "inFlight", announcement.load.inFlight }, { "queued", announcement.load.queued },
                { "utilization", announcement.load.utilization } } },
        { "releasedSlots", released }
    }.dump();
}

std::string toJson(AnnounceReply const& reply)
{
    auto grants = Json::array();
    for (auto const& grant : reply.grants)
        grants.push_back(
            { { "first", grant.first.value }, { "last", grant.last.value }, { "epoch", grant.epoch.value } });
    auto toRelease = Json::array();
    for (auto const& slot : reply.slotsToRelease)
        toRelease.push_back(slot.value);
    return Json {
        { "grants", grants }, { "timeToLiveMs", Core::toMilliseconds(reply.timeToLive) },
        { "slotsToRelease", toRelease }
    }.dump();
}

std::string describe(AnnouncementError const& error)
{
    switch (error.kind) {
    case AnnouncementErrorKind::NotJson:
        return "not a JSON object";
    case AnnouncementErrorKind::TooLarge:
        return "announcement too large";
    case AnnouncementErrorKind::MissingField:
        return "missing field " + error.field;
    case AnnouncementErrorKind::WrongType:
        return "wrong type of field " + error.field;
    case AnnouncementErrorKind::OutOfRange:
        return "value out of range in field " + error.field;
    }
    return "invalid announcement";
}

} // namespace Proxy
