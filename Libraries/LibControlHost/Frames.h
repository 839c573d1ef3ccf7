#pragma once

#include <LibFleet/View.h>
#include <LibNet/Compression.h>
#include <LibNet/FrameChannel.h>

namespace ControlHost {

/// The first byte of each frame between two hosts. The values are part of the protocol.
enum class FrameType : std::uint8_t {
    /// An encoded consensus message.
    Consensus = 'R',
    /// A `JoinRequest`.
    Join = 'J',
    /// A `Hello`, with which an entry host subscribes to the view.
    Hello = 'H',
    /// A `LeaderHint`.
    Leader = 'L',
    /// A `Fleet::ViewUpdate`.
    View = 'V',
    /// A compressed `Fleet::ViewUpdate`.
    CompressedView = 'C',
    /// A `Fleet::LoadReport`.
    Report = 'P',
    /// A `Fleet::ReservationRequest` of an entry host.
    ReservationRequest = 'Q',
    /// The leader's `Fleet::ReservationReply`.
    ReservationReply = 'A',
    /// A `Fleet::QuotaRequest` of an entry host.
    QuotaRequest = 'W',
    /// The leader's `Fleet::QuotaReply`.
    QuotaReply = 'w',
};

struct JoinRequest {
    std::string identity;
    Core::Endpoint address;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinRequest, identity, address)

struct Hello {
    std::string entryHost;
    /// The revision of the configuration items that the entry host has from an earlier leader; zero for none.
    std::uint64_t itemRevision { 0 };
    /// The requests that an earlier leader has quarantined.
    std::vector<std::string> quarantined;
};
// An entry host of an earlier version does not send the quarantine.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Hello, entryHost, itemRevision, quarantined)

/// The answer of a host that may not be the leader: the hosts that the sender should contact.
struct LeaderHint {
    std::optional<Core::Endpoint> leader;
    /// The addresses of all control hosts.
    std::vector<Core::Endpoint> members;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaderHint, leader, members)

inline std::string makeFrame(FrameType type, std::string_view payload)
{
    std::string frame(1, static_cast<char>(type));
    return frame.append(payload);
}

template <typename T> std::string makeFrame(FrameType type, T const& value)
{
    return makeFrame(type, std::string_view(Fleet::encode(value)));
}

/// The size in bytes below which a view is not compressed, since the CPU time on both sides would cost more than the
/// saved bandwidth.
inline constexpr std::size_t minCompressedBytes = 1024;

inline std::string makeViewFrame(Fleet::ViewUpdate const& update)
{
    auto const encoded = Fleet::encode(update);
    if (encoded.size() < minCompressedBytes)
        return makeFrame(FrameType::View, std::string_view(encoded));
    return makeFrame(FrameType::CompressedView, std::string_view(Net::compress(encoded)));
}

/// Decodes the payload of a view frame. Empty if it does not contain a valid view.
inline std::optional<Fleet::ViewUpdate> readView(FrameType type, std::string_view payload)
{
    if (type != FrameType::CompressedView)
        return Fleet::decode<Fleet::ViewUpdate>(payload);
    auto const encoded = Net::expand(payload, Net::FrameChannel::maxFrameBytes);
    return encoded ? Fleet::decode<Fleet::ViewUpdate>(*encoded) : std::nullopt;
}

} // namespace ControlHost
