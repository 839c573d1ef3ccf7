#include "FakeDisk.h"

#include <LibCore/Hash.h>
#include <LibStorage/RealDisk.h>
#include <LibStorage/Record.h>
#include <LibStorage/Store.h>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>

using namespace Storage;
using Consensus::LogEntry;
using Consensus::PersistRequest;
using Consensus::RecoveredState;

namespace {

constexpr std::uint64_t smallSegment = 2000;

StoreSettings settings(std::uint64_t segmentBytes = defaultSegmentBytes)
{
    return { { "cluster" }, { "host" }, segmentBytes };
}

LogEntry entry(std::uint64_t index, std::uint64_t term, std::string payload = "payload")
{
    return { { term }, { index }, Consensus::Command { std::move(payload) } };
}

Consensus::Snapshot snapshot(std::uint64_t index, std::uint64_t term, std::string data = "state")
{
    Consensus::SnapshotMetadata const metadata {
        .index = { index },
        .term = { term },
        .configuration = Consensus::Configuration::ofVoters({ { { "host" }, {} } }),
        .configurationIndex = { 1 },
        .size = data.size(),
        .checksum = Core::hash64(data),
    };
    return { metadata, std::make_shared<std::string const>(std::move(data)) };
}

template <typename T> std::string messageOf(Core::Result<T, StoreError> const& result)
{
    return result.isError() ? describe(result.error()) : "no error";
}

void create(DiskInterface& disk, StoreSettings const& storeSettings = settings())
{
    auto const configuration = Consensus::Configuration::ofVoters({ { { "host" }, {} } });
    BOOST_REQUIRE(!Store::create(disk, storeSettings, Consensus::bootstrapState(configuration)).isError());
}

Store::Opened open(DiskInterface& disk, StoreSettings const& storeSettings = settings())
{
    auto opened = Store::open(disk, storeSettings);
    BOOST_REQUIRE_MESSAGE(!opened.isError(), messageOf(opened));
    return std::move(opened).value();
}

template <typename E> E openError(DiskInterface& disk, StoreSettings const& storeSettings = settings())
{
    auto const opened = Store::open(disk, storeSettings);
    BOOST_REQUIRE(opened.isError());
    auto const* error = std::get_if<E>(&opened.error());
    BOOST_REQUIRE_MESSAGE(error, messageOf(opened));
    return *error;
}

Core::Result<Consensus::PersistSequence, StoreError> persist(Store& store, PersistRequest const& request)
{
    return store.persist(std::span(&request, 1));
}

void append(Store& store, std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
{
    for (auto index = first; index <= last; ++index) {
        auto const result = persist(store, { .entries = { entry(index, term) } });
        BOOST_REQUIRE(!result.isError());
    }
}

std::string lastLogFile(DiskInterface& disk)
{
    auto const names = disk.list().value();
    std::string last;
    for (auto const& name : names) {
        if (name.starts_with("log-"))
            last = name;
    }
    return last;
}

/// Makes this the only file of the log again. Opening a store with a torn log replaces the file.
void restoreLog(DiskInterface& disk, std::string const& file, std::string_view content)
{
    auto const names = disk.list().value();
    for (auto const& name : names) {
        if (name.starts_with("log-"))
            BOOST_REQUIRE(!disk.remove(name).isError());
    }
    auto const restored = disk.open(file, true);
    BOOST_REQUIRE(!restored.isError());
    BOOST_REQUIRE(!restored.value()->append(content).isError());
    BOOST_REQUIRE(!restored.value()->sync().isError());
    BOOST_REQUIRE(!disk.syncDirectory().isError());
}

class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "primroseshift-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path_); }

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

bool isSame(RecoveredState const& left, RecoveredState const& right)
{
    auto const indexOf = [](auto const& state) { return state.snapshot ? state.snapshot->metadata.index.value : 0; };
    return left.hardState == right.hardState && left.entries == right.entries && indexOf(left) == indexOf(right)
        && (!left.snapshot || *left.snapshot->data == *right.snapshot->data);
}

/// What a store must hold after a request.
void applyToModel(RecoveredState& model, PersistRequest const& request)
{
    if (request.snapshot) {
        auto const index = request.snapshot->metadata.index;
        model.snapshot = request.snapshot;
        if (request.discardsLog)
            model.entries.clear();
        std::erase_if(model.entries, [&](auto const& stored) { return stored.index <= index; });
    }
    if (request.hardState)
        model.hardState = *request.hardState;
    for (auto const& added : request.entries) {
        std::erase_if(model.entries, [&](auto const& stored) { return stored.index >= added.index; });
        model.entries.push_back(added);
    }
}

/// A random request that a node could make next.
PersistRequest randomRequest(Core::Random& random, RecoveredState const& model)
{
    auto const base = model.snapshot ? model.snapshot->metadata.index.value : 0;
    auto const last = model.entries.empty() ? base : model.entries.back().index.value;
    auto const term = model.hardState.term.value;
    PersistRequest request;
    auto const kind = random.below(20);
    if (kind == 0) {
        request.snapshot = snapshot(last + 5, term, std::string(random.below(3000), 's'));
        request.discardsLog = true;
    } else if (kind <= 2 && last > base) {
        auto const index = base + 1 + random.below(last - base);
        request.snapshot
            = snapshot(index, model.entries[index - base - 1].term.value, std::string(random.below(3000), 's'));
    } else if (kind <= 4) {
        request.hardState = Consensus::HardState { { term + 1 }, Core::HostName { "other" } };
    } else {
        auto const replaced = kind == 5 && last > base ? random.below(last - base) : 0;
        if (replaced > 0)
            request.hardState = Consensus::HardState { { term + 1 }, std::nullopt };
        auto const entryTerm = term + (replaced > 0 ? 1 : 0);
        auto const count = 1 + random.below(4);
        for (std::uint64_t i = 0; i < count; ++i)
            request.entries.push_back(entry(last - replaced + 1 + i, entryTerm, std::string(random.below(400), 'e')));
    }
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Stores)

BOOST_AUTO_TEST_CASE(NewStoreHoldsItsFirstState)
{
    Test::FakeDisk disk(1);
    openError<NotInitialized>(disk);
    create(disk);
    auto const opened = open(disk);
    BOOST_TEST(opened.state.hardState.term.value == 1U);
    BOOST_REQUIRE(opened.state.entries.size() == 1U);
    BOOST_TEST(std::holds_alternative<Consensus::Configuration>(opened.state.entries.front().content));
    BOOST_TEST(!opened.state.snapshot.has_value());
}

BOOST_AUTO_TEST_CASE(HostThatJoinsStartsBlank)
{
    Test::FakeDisk disk(1);
    BOOST_REQUIRE(!Store::create(disk, settings(), {}).isError());
    auto opened = open(disk);
    BOOST_TEST(isSame(opened.state, {}));
    BOOST_REQUIRE(!persist(*opened.store, { .snapshot = snapshot(90, 4), .discardsLog = true }).isError());
    append(*opened.store, 91, 95, 4);
    opened.store.reset();
    disk.crash();
    auto const again = open(disk);
    BOOST_TEST(again.state.snapshot->metadata.index.value == 90U);
    BOOST_TEST(again.state.entries.size() == 5U);
}

BOOST_AUTO_TEST_CASE(SecondCreationIsRefused)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto const result = Store::create(disk, settings(), {});
    BOOST_REQUIRE(result.isError());
    BOOST_TEST(std::holds_alternative<AlreadyInitialized>(result.error()));
}

BOOST_AUTO_TEST_CASE(InterruptedCreationLeavesNoStoreOrAWholeOne)
{
    for (std::uint64_t operations = 0; operations < 60; ++operations) {
        Test::FakeDisk disk(operations);
        disk.dieAfter(operations);
        auto const configuration = Consensus::Configuration::ofVoters({ { { "host" }, {} } });
        auto const isCreated = !Store::create(disk, settings(), Consensus::bootstrapState(configuration)).isError();
        disk.crash();
        auto const opened = Store::open(disk, settings());
        if (isCreated)
            BOOST_TEST(!opened.isError());
        if (opened.isError()) {
            BOOST_TEST(std::holds_alternative<NotInitialized>(opened.error()), messageOf(opened));
            create(disk);
        }
    }
}

BOOST_AUTO_TEST_CASE(OtherFilesInTheDirectoryAreLeftAlone)
{
    Test::FakeDisk disk(1);
    BOOST_REQUIRE(!disk.open("usage.csv", true).isError());
    create(disk);
    open(disk);
    BOOST_TEST(!disk.read("usage.csv").isError());
}

BOOST_AUTO_TEST_CASE(OneSyncForABatchOfRequests)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    std::vector<PersistRequest> requests;
    for (std::uint64_t i = 0; i < 256; ++i)
        requests.push_back({ .sequence = { i + 1 }, .entries = { entry(2 + i, 1) } });
    auto const before = disk.syncs();
    auto const result = opened.store->persist(requests);
    BOOST_REQUIRE(!result.isError());
    BOOST_TEST(result.value().value == 256U);
    BOOST_TEST(disk.syncs() - before == 1U);
}

BOOST_AUTO_TEST_CASE(RestartAfterThousandChanges)
{
    TemporaryDirectory directory;
    RealDisk disk(directory.path());
    create(disk, settings(smallSegment));
    auto opened = open(disk, settings(smallSegment));
    append(*opened.store, 2, 1001);
    BOOST_REQUIRE(
        !persist(*opened.store, { .hardState = Consensus::HardState { { 7 }, Core::HostName { "x" } } }).isError());
    opened.store.reset();
    auto const again = open(disk, settings(smallSegment));
    BOOST_TEST(again.state.entries.size() == 1001U);
    BOOST_TEST((again.state.entries.back() == entry(1001, 1)));
    BOOST_TEST(again.state.hardState.term.value == 7U);
    BOOST_TEST(again.state.hardState.votedFor.value().value == "x");
    BOOST_TEST(again.report.tornBytes == 0U);
}

BOOST_AUTO_TEST_CASE(LaterEntriesReplaceEarlierOnes)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 10);
    append(*opened.store, 5, 6, 3);
    opened.store.reset();
    auto const again = open(disk);
    BOOST_TEST(again.state.entries.size() == 6U);
    BOOST_TEST(again.state.entries.back().term.value == 3U);
}

BOOST_AUTO_TEST_CASE(TornTailIsCutOff)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Test::FakeDisk disk(seed);
        create(disk);
        auto opened = open(disk);
        append(*opened.store, 2, 20);
        // The process dies between the write and the sync.
        disk.dieAfter(1);
        std::vector<LogEntry> const lost { entry(21, 1, std::string(300, 'a')), entry(22, 1, std::string(300, 'b')) };
        BOOST_TEST(persist(*opened.store, { .entries = lost }).isError());
        opened.store.reset();
        disk.crash();
        auto again = open(disk);
        auto const count = again.state.entries.size();
        BOOST_TEST((count == 20U || count == 22U));
        append(*again.store, count + 1, count + 5, 2);
        again.store.reset();
        disk.crash();
        auto const third = open(disk);
        BOOST_TEST(third.state.entries.size() == count + 5);
    }
}

// Guards against a start that writes a log of any size anew, and then has room for it neither in memory nor on the
// disk, because the process was killed before the last batch had its mark.
BOOST_AUTO_TEST_CASE(OnlyTheLastFileIsWrittenAnewWithoutAMark)
{
    constexpr std::uint64_t lastEntry = 200;
    for (auto const hasTornTail : { false, true }) {
        Test::FakeDisk disk(1);
        create(disk, settings(smallSegment));
        auto opened = open(disk, settings(smallSegment));
        append(*opened.store, 2, lastEntry);
        auto const written = opened.store->bytesWritten();
        BOOST_REQUIRE(written > 10 * smallSegment);
        opened.store.reset();
        auto& last = disk.contentOf(lastLogFile(disk));
        last.resize(last.size() - (hasTornTail ? recordHeaderBytes + 1 : recordHeaderBytes));
        disk.setFreeBytes(2 * smallSegment);
        auto again = open(disk, settings(smallSegment));
        BOOST_TEST(again.state.isDurable);
        BOOST_TEST(again.state.entries.size() == (hasTornTail ? lastEntry - 1 : lastEntry));
        BOOST_TEST(again.store->bytesWritten() <= 2 * smallSegment);
        // The log goes on behind it, also after a loss of power.
        auto const next = again.state.entries.size() + 1;
        append(*again.store, next, next + 3);
        again.store.reset();
        disk.crash();
        auto const third = open(disk, settings(smallSegment));
        BOOST_TEST(third.state.entries.size() == next + 3);
    }
}

// Guards against a request that is held three times while it is written.
BOOST_AUTO_TEST_CASE(ALargeRequestIsWrittenInPartsThatAreReadAsOne)
{
    constexpr std::size_t large = std::size_t { 1 } << 20;
    std::vector<LogEntry> entries;
    for (std::uint64_t index = 2; index <= 9; ++index)
        entries.push_back(entry(index, 1, std::string(large, static_cast<char>('a' + index))));
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    auto const syncs = disk.syncs();
    BOOST_REQUIRE(!persist(*opened.store, { .entries = entries }).isError());
    BOOST_TEST(disk.syncs() > syncs + 2);
    opened.store.reset();
    disk.crash();
    auto again = open(disk);
    BOOST_REQUIRE(again.state.entries.size() == entries.size() + 1);
    BOOST_TEST((std::vector<LogEntry>(again.state.entries.begin() + 1, again.state.entries.end()) == entries));
    // The whole state in one request.
    PersistRequest const whole {
        .replacesAll = true, .hardState = again.state.hardState, .entries = again.state.entries
    };
    BOOST_REQUIRE(!persist(*again.store, whole).isError());
    again.store.reset();
    disk.crash();
    auto const third = open(disk);
    BOOST_TEST((third.state.entries == whole.entries));
}

BOOST_AUTO_TEST_CASE(DamagedBytesInTheTailDoNotPassAsARecord)
{
    // Each byte of a last batch without its mark, damaged one at a time: the batch is gone as a whole.
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 3);
    auto const file = lastLogFile(disk);
    auto const before = disk.contentOf(file).size();
    append(*opened.store, 4, 4);
    opened.store.reset();
    auto const intact = disk.contentOf(file).substr(0, disk.contentOf(file).size() - recordHeaderBytes);
    for (auto i = before; i < intact.size(); ++i) {
        restoreLog(disk, file, intact);
        disk.contentOf(file)[i] = static_cast<char>(disk.contentOf(file)[i] ^ 0x10);
        auto const again = open(disk);
        BOOST_TEST(again.state.entries.size() == 3U);
        BOOST_TEST(again.report.tornBytes == intact.size() - before);
    }
}

BOOST_AUTO_TEST_CASE(DamageToTheLastBatchIsRejectedOnceItIsMarked)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 3);
    auto const file = lastLogFile(disk);
    auto const before = disk.contentOf(file).size();
    std::vector<LogEntry> const entries { entry(4, 1), entry(5, 1), entry(6, 1) };
    BOOST_REQUIRE(!persist(*opened.store, { .entries = entries }).isError());
    opened.store.reset();
    auto const intact = disk.contentOf(file);
    for (auto i = before; i < intact.size() - recordHeaderBytes; ++i) {
        disk.contentOf(file) = intact;
        disk.contentOf(file)[i] = static_cast<char>(disk.contentOf(file)[i] ^ 0x10);
        auto const error = openError<Corruption>(disk);
        BOOST_TEST(error.offset >= before);
        BOOST_TEST(error.offset <= i);
    }
    // The mark itself may be torn.
    for (auto i = intact.size() - recordHeaderBytes; i < intact.size(); ++i) {
        restoreLog(disk, file, intact);
        disk.contentOf(file)[i] = static_cast<char>(disk.contentOf(file)[i] ^ 0x10);
        BOOST_TEST(open(disk).state.entries.size() == 6U);
    }
}

BOOST_AUTO_TEST_CASE(CorruptMiddleIsRejectedWithFileAndOffset)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 9);
    auto const file = lastLogFile(disk);
    auto const recordStart = disk.contentOf(file).size();
    append(*opened.store, 10, 10);
    auto const recordEnd = disk.contentOf(file).size() - recordHeaderBytes;
    append(*opened.store, 11, 20);
    opened.store.reset();
    auto const intact = disk.contentOf(file);
    for (auto i = recordStart; i < recordEnd; ++i) {
        disk.contentOf(file) = intact;
        disk.contentOf(file)[i] = static_cast<char>(disk.contentOf(file)[i] ^ 1);
        auto const error = openError<Corruption>(disk);
        BOOST_TEST((error.kind == CorruptionKind::DamagedRecord));
        BOOST_TEST(error.file == file);
        BOOST_TEST(error.offset == recordStart);
        // Nothing was repaired, so a second try fails as well.
        BOOST_TEST(openError<Corruption>(disk).offset == recordStart);
    }
}

BOOST_AUTO_TEST_CASE(DamageInAnEarlierFileIsRejectedAlsoAtItsEnd)
{
    Test::FakeDisk disk(1);
    create(disk, settings(smallSegment));
    auto opened = open(disk, settings(smallSegment));
    append(*opened.store, 2, 60);
    opened.store.reset();
    std::string const first = "log-0000000000000001";
    BOOST_REQUIRE(lastLogFile(disk) != first);
    auto const intact = disk.contentOf(first);
    disk.contentOf(first).back() = static_cast<char>(disk.contentOf(first).back() ^ 1);
    BOOST_TEST(openError<Corruption>(disk, settings(smallSegment)).file == first);
    disk.contentOf(first) = intact.substr(0, intact.size() - 10);
    BOOST_TEST(openError<Corruption>(disk, settings(smallSegment)).file == first);
    disk.contentOf(first) = intact;
    disk.contentOf(first)[3] = 'x';
    auto const error = openError<Corruption>(disk, settings(smallSegment));
    BOOST_TEST((error.kind == CorruptionKind::DamagedFileHeader));
    disk.contentOf(first) = intact;
    open(disk, settings(smallSegment));
}

BOOST_AUTO_TEST_CASE(MissingFileIsRejected)
{
    Test::FakeDisk disk(1);
    create(disk, settings(smallSegment));
    auto opened = open(disk, settings(smallSegment));
    append(*opened.store, 2, 90);
    opened.store.reset();
    BOOST_REQUIRE(!disk.remove("log-0000000000000002").isError());
    auto const error = openError<Corruption>(disk, settings(smallSegment));
    BOOST_TEST((error.kind == CorruptionKind::MissingEntries));
    BOOST_TEST(error.file == "log-0000000000000003");
}

BOOST_AUTO_TEST_CASE(OtherVersionIsRejected)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto const file = lastLogFile(disk);
    auto& content = disk.contentOf(file);
    content[8] = 9;
    auto const checksum = Core::hash64(std::string_view(content).substr(0, 32), 1);
    for (std::size_t i = 0; i < 8; ++i)
        content[32 + i] = static_cast<char>((checksum >> (8 * i)) & 0xFF);
    BOOST_TEST(openError<UnsupportedVersion>(disk).version == 9U);
}

BOOST_AUTO_TEST_CASE(FailedFsyncIsNotTriedAgain)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 5);
    disk.failSyncAfter(0);
    auto const failed = persist(*opened.store, { .entries = { entry(6, 1) } });
    BOOST_REQUIRE(failed.isError());
    auto const* error = std::get_if<DiskError>(&failed.error());
    BOOST_REQUIRE(error);
    BOOST_TEST((error->operation == DiskOperation::Sync));
    // The disk works again, but the sync is not tried again: the kernel may have dropped the data.
    auto const syncs = disk.syncs();
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(persist(*opened.store, { .entries = { entry(6, 1) } }).isError());
    BOOST_TEST(disk.syncs() == syncs);
    // Without the process, only what was synced is sure to be left.
    opened.store.reset();
    disk.crash();
    BOOST_TEST(open(disk).state.entries.size() == 5U);
}

// Guards against entries that a process finds in the page cache after a failed sync and takes for durable.
BOOST_AUTO_TEST_CASE(StateFoundAfterAFailedSyncIsWrittenAnew)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Test::FakeDisk disk(seed);
        create(disk, settings(smallSegment));
        auto opened = open(disk, settings(smallSegment));
        append(*opened.store, 2, 20);
        disk.failSyncAfter(seed % 6);
        auto failed
            = persist(*opened.store, PersistRequest { .snapshot = snapshot(15, 1), .entries = { entry(21, 1) } });
        auto next = 22U;
        for (; !failed.isError(); ++next)
            failed = persist(*opened.store, { .entries = { entry(next, 1) } });
        BOOST_TEST(persist(*opened.store, { .entries = { entry(99, 1) } }).isError());
        opened.store.reset();
        disk.endProcess();
        auto found = open(disk, settings(smallSegment));
        BOOST_REQUIRE(found.state.isDurable);
        auto const last = found.state.entries.back().index.value;
        BOOST_TEST(last + 2 >= next);
        found.store.reset();
        disk.crash();
        auto const again = open(disk, settings(smallSegment));
        BOOST_TEST(isSame(again.state, found.state), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(WholeStateIsAcceptedAfterAFailedSync)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 5);
    disk.failSyncAfter(0);
    BOOST_REQUIRE(persist(*opened.store, { .entries = { entry(6, 1) } }).isError());
    std::vector<PersistRequest> requests(3);
    // What was sent before the failure was known comes first and is superfluous.
    requests[0] = { .sequence = { 7 }, .entries = { entry(7, 1) } };
    requests[1] = { .sequence = { 8 },
        .snapshot = snapshot(4, 1),
        .replacesAll = true,
        .hardState = Consensus::HardState { { 3 }, std::nullopt },
        .entries = { entry(5, 1), entry(6, 2) } };
    requests[2] = { .sequence = { 9 }, .entries = { entry(7, 2) } };
    auto const result = opened.store->persist(requests);
    BOOST_REQUIRE(!result.isError());
    BOOST_TEST(result.value().value == 9U);
    append(*opened.store, 8, 30, 2);
    opened.store.reset();
    disk.crash();
    auto const again = open(disk);
    BOOST_TEST(again.state.hardState.term.value == 3U);
    BOOST_TEST(again.state.snapshot->metadata.index.value == 4U);
    BOOST_TEST(again.state.entries.size() == 26U);
    BOOST_TEST(again.state.entries[1].term.value == 2U);
    auto const names = disk.list().value();
    BOOST_TEST(std::ranges::count_if(names, [](auto const& name) { return name.starts_with("log-"); }) == 1);
    BOOST_TEST(std::ranges::count(names, "failed") == 0);
}

// Guards against a store that stays closed for good after its disk was full for a while.
BOOST_AUTO_TEST_CASE(FullDiskLosesNothingAndIsLeftBehind)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 5);
    disk.setFreeBytes(100);
    auto const failed = persist(*opened.store, { .entries = { entry(6, 1, std::string(500, 'x')) } });
    BOOST_REQUIRE(failed.isError());
    auto const* error = std::get_if<DiskError>(&failed.error());
    BOOST_REQUIRE(error);
    BOOST_TEST(error->isDiskFull());
    opened.store.reset();
    // A process that starts in the meantime gets the state, which it cannot write.
    auto full = open(disk);
    BOOST_TEST(full.state.entries.size() == 5U);
    BOOST_TEST(!full.state.isDurable);
    PersistRequest const whole {
        .replacesAll = true, .hardState = full.state.hardState, .entries = full.state.entries
    };
    BOOST_TEST(persist(*full.store, whole).isError());
    BOOST_TEST(persist(*full.store, { .entries = { entry(6, 1) } }).isError());
    disk.setFreeBytes(std::nullopt);
    BOOST_REQUIRE(!persist(*full.store, whole).isError());
    append(*full.store, 6, 6);
    full.store.reset();
    disk.crash();
    auto const again = open(disk);
    BOOST_TEST(again.state.entries.size() == 6U);
    BOOST_TEST(again.state.isDurable);
}

BOOST_AUTO_TEST_CASE(CreationOnAFullDiskIsRepeated)
{
    // The disk is full at each step of the creation.
    for (std::uint64_t bytes = 0; bytes < 800; bytes += 7) {
        Test::FakeDisk disk(bytes);
        disk.setFreeBytes(bytes);
        auto const configuration = Consensus::Configuration::ofVoters({ { { "host" }, {} } });
        auto const state = Consensus::bootstrapState(configuration);
        auto const first = Store::create(disk, settings(), state);
        disk.setFreeBytes(std::nullopt);
        if (first.isError()) {
            openError<NotInitialized>(disk);
            BOOST_REQUIRE(!Store::create(disk, settings(), state).isError());
        }
        BOOST_TEST(open(disk).state.entries.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(RandomDiskFaultsLoseNoDurableRequest)
{
    auto const runs = std::getenv("PRIMROSESHIFT_FEW_SEEDS") ? 100U : 1000U; // NOLINT(concurrency-mt-unsafe)
    std::uint64_t failures = 0;
    for (std::uint64_t seed = 0; seed < runs; ++seed) {
        Core::Random random(seed);
        Test::FakeDisk disk(seed);
        create(disk, settings(smallSegment));
        auto opened = open(disk, settings(smallSegment));
        // What is proved durable, and all states that a crash may leave.
        auto model = opened.state;
        std::vector<RecoveredState> possible { model };
        auto hasFailed = false;
        for (int step = 0; step < 60; ++step) {
            auto const fault = random.below(8);
            if (fault == 0)
                disk.setFreeBytes(random.below(1500));
            else if (fault == 1)
                disk.failSyncAfter(random.below(5));
            else if (fault <= 3)
                disk.setFreeBytes(std::nullopt);
            if (random.below(6) == 0) {
                opened.store.reset();
                if (random.below(2) == 0)
                    disk.crash();
                opened = open(disk, settings(smallSegment));
                auto const found
                    = std::ranges::find_if(possible, [&](auto const& state) { return isSame(state, opened.state); });
                BOOST_REQUIRE_MESSAGE(found != possible.end(), "seed " << seed << " step " << step);
                hasFailed = !opened.state.isDurable;
                model = opened.state;
                if (hasFailed)
                    possible.push_back(model);
                else
                    possible = { model };
                continue;
            }
            PersistRequest request;
            if (hasFailed) {
                request = { .snapshot = model.snapshot,
                    .replacesAll = true,
                    .hardState = model.hardState,
                    .entries = model.entries };
            } else {
                request = randomRequest(random, model);
                applyToModel(model, request);
                possible.push_back(model);
            }
            hasFailed = persist(*opened.store, request).isError();
            failures += hasFailed ? 1 : 0;
            if (!hasFailed)
                possible = { model };
        }
    }
    BOOST_TEST(failures > runs);
}

BOOST_AUTO_TEST_CASE(SecondProcessIsLockedOut)
{
    TemporaryDirectory directory;
    RealDisk disk(directory.path());
    create(disk);
    auto opened = open(disk);
    openError<DirectoryInUse>(disk);
    auto const child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        RealDisk other(directory.path());
        auto const result = Store::open(other, settings());
        ::_exit(result.isError() && std::holds_alternative<DirectoryInUse>(result.error()) ? 0 : 1);
    }
    int status = 0;
    BOOST_REQUIRE(::waitpid(child, &status, 0) == child);
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0));
    opened.store.reset();
    open(disk);
}

BOOST_AUTO_TEST_CASE(WrongClusterOrHostIsRefused)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto const cluster = openError<IdentityMismatch>(disk, { { "another" }, { "host" } });
    BOOST_TEST(cluster.foundCluster.value == "cluster");
    auto const host = openError<IdentityMismatch>(disk, { { "cluster" }, { "another" } });
    BOOST_TEST(host.foundHost.value == "host");
    auto& identity = disk.contentOf("identity");
    identity.back() = static_cast<char>(identity.back() ^ 1);
    BOOST_TEST((openError<Corruption>(disk).kind == CorruptionKind::DamagedIdentity));
}

BOOST_AUTO_TEST_CASE(LostIdentityIsNotTakenForAnEmptyDirectory)
{
    Test::FakeDisk disk(1);
    create(disk);
    BOOST_REQUIRE(!disk.remove("identity").isError());
    openError<Corruption>(disk);
    BOOST_TEST(Store::create(disk, settings(), {}).isError());
}

BOOST_AUTO_TEST_CASE(SnapshotBoundsTheLog)
{
    Test::FakeDisk disk(1);
    create(disk, settings(smallSegment));
    auto opened = open(disk, settings(smallSegment));
    append(*opened.store, 2, 200);
    auto const before = disk.list().value().size();
    BOOST_REQUIRE(!persist(*opened.store, { .snapshot = snapshot(190, 1) }).isError());
    BOOST_TEST(disk.list().value().size() + 3 < before);
    BOOST_REQUIRE(!persist(*opened.store, { .snapshot = snapshot(195, 1, "newer") }).isError());
    opened.store.reset();
    auto const again = open(disk, settings(smallSegment));
    BOOST_TEST(*again.state.snapshot->data == "newer");
    BOOST_TEST(again.state.entries.size() == 5U);
    BOOST_TEST(again.state.entries.front().index.value == 196U);
}

BOOST_AUTO_TEST_CASE(SnapshotFromTheLeaderDropsConflictingEntries)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 50);
    BOOST_REQUIRE(!persist(*opened.store, { .snapshot = snapshot(30, 2), .discardsLog = true }).isError());
    append(*opened.store, 31, 33, 2);
    opened.store.reset();
    auto const again = open(disk);
    BOOST_TEST(again.state.snapshot->metadata.term.value == 2U);
    BOOST_TEST(again.state.entries.size() == 3U);
    BOOST_TEST(again.state.entries.back().term.value == 2U);
}

BOOST_AUTO_TEST_CASE(DamagedSnapshotIsRejected)
{
    Test::FakeDisk disk(1);
    create(disk);
    auto opened = open(disk);
    append(*opened.store, 2, 50);
    BOOST_REQUIRE(!persist(*opened.store, { .snapshot = snapshot(30, 1) }).isError());
    opened.store.reset();
    std::string const file = "snapshot-000000000000001e";
    auto const intact = disk.contentOf(file);
    for (std::size_t i = 0; i < intact.size(); ++i) {
        disk.contentOf(file) = intact;
        disk.contentOf(file)[i] = static_cast<char>(disk.contentOf(file)[i] ^ 4);
        auto const opening = Store::open(disk, settings());
        BOOST_REQUIRE(opening.isError());
        auto const isTyped = std::holds_alternative<Corruption>(opening.error())
            || std::holds_alternative<UnsupportedVersion>(opening.error());
        BOOST_TEST(isTyped);
    }
}

BOOST_AUTO_TEST_CASE(RandomCrashesLoseNoDurableRequest)
{
    auto const runs = std::getenv("PRIMROSESHIFT_FEW_SEEDS") ? 40U : 400U; // NOLINT(concurrency-mt-unsafe)
    for (std::uint64_t seed = 0; seed < runs; ++seed) {
        Core::Random random(seed);
        Test::FakeDisk disk(seed);
        create(disk, settings(smallSegment));
        auto model = open(disk, settings(smallSegment)).state;
        for (int life = 0; life < 6; ++life) {
            auto opened = open(disk, settings(smallSegment));
            BOOST_REQUIRE_MESSAGE(isSame(opened.state, model), "seed " << seed << " life " << life);
            disk.dieAfter(random.below(120));
            std::vector<RecoveredState> possible;
            while (true) {
                std::vector<PersistRequest> requests;
                possible = { model };
                for (auto count = 1 + random.below(4); count > 0; --count) {
                    requests.push_back(randomRequest(random, possible.back()));
                    possible.push_back(possible.back());
                    applyToModel(possible.back(), requests.back());
                }
                if (opened.store->persist(requests).isError())
                    break;
                model = possible.back();
            }
            opened.store.reset();
            if (random.below(4) == 0) {
                disk.endProcess();
                // The mark of the failure could not be written, as the process had died.
            } else {
                disk.crash();
            }
            auto const recovered = open(disk, settings(smallSegment)).state;
            auto const found
                = std::ranges::find_if(possible, [&](auto const& state) { return isSame(state, recovered); });
            BOOST_REQUIRE_MESSAGE(found != possible.end(), "seed " << seed << " life " << life);
            model = recovered;
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
