#pragma once

#include <LibFleet/View.h>

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

} // namespace ControlHost
