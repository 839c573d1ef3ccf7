#include <LibControlHost/Bootstrap.h>
#include <LibCore/Random.h>

#include <algorithm>

namespace ControlHost {

namespace {

    Core::ClusterId const clusterId { "fleet" };

    Core::HostName founderIdentity(Core::Endpoint const& address) { return { address.toString() + "#founder" }; }

    Core::HostName randomIdentity(Core::Endpoint const& address)
    {
        auto random = Core::Random::fromSystemEntropy();
        return { address.toString() + "#" + Core::RequestId::generate(random).toString() };
    }

    Consensus::Configuration initialConfiguration(std::span<Core::Endpoint const> founders)
    {
        std::vector<Consensus::Member> voters;
        std::ranges::transform(founders, std::back_inserter(voters), [](auto const& address) {
            return Consensus::Member { founderIdentity(address), address };
        });
        return Consensus::Configuration::ofVoters(std::move(voters));
    }

    Core::Result<OpenedStore, Storage::StoreError> openAs(
        Storage::DiskInterface& disk, Core::HostName const& identity, std::uint64_t segmentBytes)
    {
        auto opened = TRY(Storage::Store::open(disk, { clusterId, identity, segmentBytes }));
        return OpenedStore { identity, std::move(opened) };
    }

} // namespace

std::optional<Core::Endpoint> addressOf(Core::HostName const& identity)
{
    return Core::Endpoint::parse(std::string_view(identity.value).substr(0, identity.value.find('#')));
}

Core::Result<OpenedStore, Storage::StoreError> openOrBootstrap(
    Storage::DiskInterface& disk, BootstrapSettings const& settings)
{
    auto found = openAs(disk, founderIdentity(settings.address), settings.segmentBytes);
    if (!found.isError())
        return found;
    if (auto const* const mismatch = std::get_if<Storage::IdentityMismatch>(&found.error())) {
        if (mismatch->foundCluster != clusterId)
            return found;
        return openAs(disk, mismatch->foundHost, settings.segmentBytes);
    }
    if (!std::holds_alternative<Storage::NotInitialized>(found.error()))
        return found;
    auto const isFounder = settings.isFirstStart && std::ranges::count(settings.founders, settings.address) > 0;
    auto const identity = isFounder ? founderIdentity(settings.address) : randomIdentity(settings.address);
    auto const state
        = isFounder ? Consensus::bootstrapState(initialConfiguration(settings.founders)) : Consensus::RecoveredState {};
    TRY(Storage::Store::create(disk, { clusterId, identity }, state));
    return openAs(disk, identity, settings.segmentBytes);
}

} // namespace ControlHost
