#pragma once

#include <LibPolicy/SlowStartLimit.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace PolicyBench {

/// Additive increase, multiplicative decrease by what one entry host sees. The usual local adaptive limit.
class AimdLimit final : public Policy::ServerLimit {
public:
    std::uint32_t current() const override { return limit_; }
    bool isCold() const override { return limit_ < slots_; }
    void setSlots(std::uint32_t slots) override { slots_ = slots; }
    void markCold(Core::TimePoint) override { limit_ = 1; }
    void beginProbation(Core::TimePoint) override { }
    void raiseLimitTo(std::uint32_t limit) override { limit_ = std::max(limit, 1U); }
    bool observe(Policy::AttemptSample const&) override;

private:
    std::uint32_t slots_ { 1 };
    std::uint32_t limit_ { 1 };
    std::uint32_t answersAtLimit_ { 0 };
};

/// Divides the limit of each server among the entry hosts by their demand.
class QuotaAllocator {
public:
    QuotaAllocator(std::size_t hosts, std::size_t servers, std::uint32_t slots);

    std::uint32_t quota(std::size_t host, std::size_t server) const { return cell(host, server).quota; }
    std::uint32_t inFlight(std::size_t server) const;
    void noteDemand(std::size_t host, std::size_t server) { ++cell(host, server).demand; }
    void noteInFlight(std::size_t host, std::size_t server, int change) { cell(host, server).inFlight += change; }
    void noteSample(std::size_t server, Policy::AttemptSample const& sample) { limits_[server].observe(sample); }
    void markCold(std::size_t server, Core::TimePoint now) { limits_[server].markCold(now); }
    void assumeWarm(std::uint32_t slots);
    /// Gives the server's limit to the hosts with the most demand. What a host still has in flight stays counted.
    void allocate();
    /// The quota of a lost host stays with it until its lease has ended.
    void freeze(std::size_t host) { frozen_[host] = true; }
    /// Takes the quota of a lost host back.
    void retire(std::size_t host);

private:
    struct Cell {
        std::uint32_t quota { 0 };
        double demand { 0 };
        int inFlight { 0 };
    };
    Cell& cell(std::size_t host, std::size_t server) { return cells_[server * frozen_.size() + host]; }
    Cell const& cell(std::size_t host, std::size_t server) const { return cells_[server * frozen_.size() + host]; }
    void allocate(std::size_t server);

    std::vector<Cell> cells_;
    std::vector<bool> frozen_;
    std::vector<Policy::SlowStartLimit> limits_;
    std::size_t rounds_ { 0 };
};

/// The quota of one entry host at one server.
class QuotaLimit final : public Policy::ServerLimit {
public:
    QuotaLimit(QuotaAllocator& allocator, std::size_t host, std::size_t server)
        : allocator_(allocator)
        , host_(host)
        , server_(server)
    {
    }
    std::uint32_t current() const override { return allocator_.quota(host_, server_); }
    bool isCold() const override { return false; }
    void setSlots(std::uint32_t) override { }
    void markCold(Core::TimePoint now) override { allocator_.markCold(server_, now); }
    void beginProbation(Core::TimePoint) override { }
    void raiseLimitTo(std::uint32_t) override { }
    bool observe(Policy::AttemptSample const& sample) override
    {
        auto const fleetWide = allocator_.inFlight(server_);
        allocator_.noteSample(server_, { sample.now, sample.outcome, sample.ratio, fleetWide });
        return false;
    }

private:
    QuotaAllocator& allocator_;
    std::size_t host_;
    std::size_t server_;
};

} // namespace PolicyBench
