#pragma once

#include <LibFleet/View.h>
#include <LibNet/Compression.h>
#include <LibNet/FrameChannel.h>

namespace ControlHost {

/// The first byte of each frame between two hosts of the product. The numbers are part of the protocol.
enum class FrameType : std::uint8_t {
    /// An encoded consensus message.
    Consensus = 'R',
    /// `JoinRequest`
    Join = 'J',
    /// `Hello`: an entry host asks for the view.
    Hello = 'H',
    /// `LeaderHint`
    Leader = 'L',
    /// `Fleet::ViewUpdate`
    View = 'V',
    /// `Fleet::ViewUpdate`, compressed.
    CompressedView = 'C',
    /// `Fleet::LoadReport`
    Report = 'P',
};

struct JoinRequest {
    std::string identity;
    Core::Endpoint address;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JoinRequest, identity, address)

struct Hello {
    std::string entryHost;
    /// Of the configuration items that it has from an earlier leader; zero for none.
    std::uint64_t itemRevision { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Hello, entryHost, itemRevision)

/// Whom to ask instead.
struct LeaderHint {
    std::optional<Core::Endpoint> leader;
    /// All control hosts.
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

/// Views that are shorter are not compressed: it would cost both sides more than the link.
inline constexpr std::size_t minCompressedBytes = 1024;

inline std::string makeViewFrame(Fleet::ViewUpdate const& update)
{
    auto const encoded = Fleet::encode(update);
    if (encoded.size() < minCompressedBytes)
        return makeFrame(FrameType::View, std::string_view(encoded));
    return makeFrame(FrameType::CompressedView, std::string_view(Net::compress(encoded)));
}

/// Empty for a frame that holds no view.
inline std::optional<Fleet::ViewUpdate> readView(FrameType type, std::string_view payload)
{
    if (type != FrameType::CompressedView)
        return Fleet::decode<Fleet::ViewUpdate>(payload);
    auto const encoded = Net::expand(payload, Net::FrameChannel::maxFrameBytes);
    return encoded ? Fleet::decode<Fleet::ViewUpdate>(*encoded) : std::nullopt;
}

} // namespace ControlHost
