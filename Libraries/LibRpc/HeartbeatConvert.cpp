#include <LibControl/WireTypes.h>
#include <LibRpc/Convert.h>

namespace Rpc {

namespace {

    using Control::Wire::FieldReader;
    using EpochSlots = std::vector<Control::EpochSlot>;

    void writeEpochSlots(capnp::List<Wire::EpochSlot>::Builder builder, EpochSlots const& slots)
    {
        for (unsigned index = 0; index < slots.size(); ++index) {
            builder[index].setSlot(static_cast<std::uint32_t>(slots[index].slot.value));
            builder[index].setEpoch(slots[index].epoch.value);
        }
    }

    EpochSlots readEpochSlots(capnp::List<Wire::EpochSlot>::Reader reader)
    {
        EpochSlots slots;
        slots.reserve(reader.size());
        for (auto const slot : reader)
            slots.push_back({ { slot.getSlot() }, { slot.getEpoch() } });
        return slots;
    }

    void writeSlotRef(Wire::SlotRef::Builder builder, Control::SlotRef const& slot)
    {
        builder.setPool(slot.pool.value);
        builder.setSlot(static_cast<std::uint32_t>(slot.slot.value));
    }

    Control::SlotRef readSlotRef(Wire::SlotRef::Reader reader, FieldReader& fields)
    {
        return { { fields.text(reader.getPool()) }, { reader.getSlot() } };
    }

    void writeAnnouncement(Wire::Announcement::Builder builder, Control::Announcement const& announcement)
    {
        Control::Wire::writeServer(builder.initServer(), announcement.server);
        builder.setCold(announcement.cold);
        builder.setDraining(announcement.draining);
        builder.setBusySlots(announcement.busySlots);
        writeEpochSlots(
            builder.initReleased(static_cast<unsigned>(announcement.released.size())), announcement.released);
    }

    Control::Announcement readAnnouncement(Wire::Announcement::Reader reader, FieldReader& fields)
    {
        return { Control::Wire::readServer(reader.getServer(), fields), reader.getCold(), reader.getDraining(),
            reader.getBusySlots(), readEpochSlots(reader.getReleased()) };
    }

    void writeGrant(Wire::Grant::Builder builder, Control::Grant const& grant)
    {
        builder.setServer(grant.server.value);
        builder.setIncarnation(grant.incarnation.value);
        builder.setTimeToLiveNanoseconds(grant.timeToLive.count());
        writeEpochSlots(builder.initSlots(static_cast<unsigned>(grant.slots.size())), grant.slots);
        writeEpochSlots(builder.initRelease(static_cast<unsigned>(grant.release.size())), grant.release);
    }

    Control::Grant readGrant(Wire::Grant::Reader reader, FieldReader& fields)
    {
        return { { fields.text(reader.getServer()) }, { reader.getIncarnation() },
            Core::Duration(reader.getTimeToLiveNanoseconds()), readEpochSlots(reader.getSlots()),
            readEpochSlots(reader.getRelease()) };
    }

} // namespace

void writeHeartbeat(Wire::Heartbeat::Builder builder, Control::Heartbeat const& heartbeat)
{
    Control::Wire::writeEntryHost(builder.initHost(), heartbeat.host);
    builder.setSequence(heartbeat.sequence);
    builder.setAppliedVersion(heartbeat.appliedVersion.value);
    auto announcements = builder.initAnnouncements(static_cast<unsigned>(heartbeat.announcements.size()));
    for (unsigned index = 0; index < heartbeat.announcements.size(); ++index)
        writeAnnouncement(announcements[index], heartbeat.announcements[index]);
    auto held = builder.initHeldReleases(static_cast<unsigned>(heartbeat.heldReleases.size()));
    for (unsigned index = 0; index < heartbeat.heldReleases.size(); ++index)
        writeSlotRef(held[index], heartbeat.heldReleases[index]);
    auto work = builder.initWork(static_cast<unsigned>(heartbeat.work.size()));
    for (unsigned index = 0; index < heartbeat.work.size(); ++index) {
        writeSlotRef(work[index].initSlot(), heartbeat.work[index].slot);
        work[index].setBusyNanoseconds(heartbeat.work[index].busy.count());
    }
}

Decoded<Control::Heartbeat> readHeartbeat(Wire::Heartbeat::Reader reader)
{
    FieldReader fields;
    Control::Heartbeat heartbeat;
    heartbeat.host = Control::Wire::readEntryHost(reader.getHost(), fields);
    heartbeat.sequence = reader.getSequence();
    heartbeat.appliedVersion = { reader.getAppliedVersion() };
    for (auto const announcement : reader.getAnnouncements())
        heartbeat.announcements.push_back(readAnnouncement(announcement, fields));
    for (auto const slot : reader.getHeldReleases())
        heartbeat.heldReleases.push_back(readSlotRef(slot, fields));
    for (auto const work : reader.getWork())
        heartbeat.work.push_back({ readSlotRef(work.getSlot(), fields), Core::Duration(work.getBusyNanoseconds()) });
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return heartbeat;
}

void writeHeartbeatAnswer(
    Wire::HeartbeatAnswer::Builder builder, Control::HeartbeatAnswer const& answer, Core::ViewVersion effectiveVersion)
{
    builder.setViewLeaseNanoseconds(answer.viewLease.count());
    if (answer.view)
        writeView(builder.initView(), *answer.view);
    auto grants = builder.initGrants(static_cast<unsigned>(answer.grants.size()));
    for (unsigned index = 0; index < answer.grants.size(); ++index)
        writeGrant(grants[index], answer.grants[index]);
    builder.setEffectiveVersion(effectiveVersion.value);
}

Decoded<HeartbeatAnswer> readHeartbeatAnswer(Wire::HeartbeatAnswer::Reader reader)
{
    FieldReader fields;
    HeartbeatAnswer answer;
    answer.viewLease = Core::Duration(reader.getViewLeaseNanoseconds());
    if (reader.hasView())
        answer.view = TRY(readView(reader.getView()));
    for (auto const grant : reader.getGrants())
        answer.grants.push_back(readGrant(grant, fields));
    answer.effectiveVersion = { reader.getEffectiveVersion() };
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return answer;
}

} // namespace Rpc
