#include <LibConsensus/Actions.h>

namespace Consensus {

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre-candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    case Role::Halted:
        return "halted";
    }
    return "unknown";
}

std::string_view toString(MessageRefusal refusal)
{
    switch (refusal) {
    case MessageRefusal::WrongCluster:
        return "wrong-cluster";
    case MessageRefusal::WrongReceiver:
        return "wrong-receiver";
    case MessageRefusal::Malformed:
        return "malformed";
    case MessageRefusal::VoterLostData:
        return "voter-lost-data";
    }
    return "unknown";
}

} // namespace Consensus
