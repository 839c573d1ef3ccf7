#pragma once

#include <LibPolicy/ServerChoice.h>

namespace Policy {

/// Chooses the server with the lowest product of load and slowness; among equals the least recently chosen one.
///
/// Implemented as a tournament tree over the servers: an update costs one comparison per level, a choice reads the
/// root.
class LeastLoadedChoice final : public ServerChoice {
public:
    void update(std::size_t server, ServerLoad const&) override;
    void exclude(std::size_t server) override;
    bool hasAvailable() const override { return leaves_ > 0 && keys_[winners_[1]].available; }
    std::optional<std::size_t> choose(std::span<std::size_t const> avoided, Core::Random&) override;

private:
    struct Key {
        double score { 0 };
        std::uint64_t lastChosen { 0 };
        bool available { false };

        bool isBefore(Key const&) const;
    };

    void ensureSize(std::size_t servers);
    void replay(std::size_t server);

    std::vector<Key> keys_;
    /// Index of the winning server of each subtree. The root is at 1, the leaves start at `leaves_`.
    std::vector<std::size_t> winners_;
    std::size_t leaves_ { 0 };
    std::uint64_t choices_ { 0 };
};

} // namespace Policy
