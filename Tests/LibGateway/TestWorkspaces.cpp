#include "GatewayFixture.h"

using namespace TestGateway;

namespace {

/// A pool without keys of one server, behind a route that needs an API key and a public one. The workspaces "a" and "b"
/// have one key each.
struct WorkspaceFixture : GatewayFixture {
    WorkspaceFixture()
        : backend(loop, answering("200 OK", "done"))
    {
        auto update = routesAndPools();
        auto open = route("open", "/open/", Fleet::RequestKind::Safe, unkeyed);
        open.isPublic = true;
        update.routes.push_back({ open.name.value, { open.version, open } });
        update.servers = { server(1, backend, unkeyed) };
        gateway.apply(update);
    }

    void setWorkspace(std::string const& name, std::uint64_t version, std::vector<std::string> keys)
    {
        Fleet::WorkspaceItem item;
        item.name = { name };
        item.version = version;
        item.apiKeys = std::move(keys);
        Fleet::ViewUpdate update;
        update.workspaces.push_back({ name, { version, item } });
        gateway.apply(update);
    }

    std::unique_ptr<Caller> askWith(std::string const& path, std::string const& fields)
    {
        auto caller = std::make_unique<Caller>(loop, address);
        caller->send(withFields(path, fields));
        caller->waitForAnswer();
        return caller;
    }

    std::string withFields(std::string const& path, std::string const& fields)
    {
        auto text = request(path, std::to_string(++attempts));
        return text.insert(text.size() - 2, fields);
    }

    FakeServer backend;
    int attempts { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Workspaces, WorkspaceFixture)

// UNASKED: a server must get the name of the workspace whose key the caller sent, and never the key.
BOOST_AUTO_TEST_CASE(TheServerGetsTheWorkspaceInsteadOfTheKey)
{
    setWorkspace("a", 1, { "key-a" });
    setWorkspace("b", 1, { "key-b" });
    BOOST_TEST(askWith("/any/x", "Api-Key: key-b\r\nWorkspace: a\r\n")->status() == "200");
    auto const& seen = backend.requests().back();
    BOOST_TEST(headerOf(seen, "Workspace") == "b");
    BOOST_TEST(seen.find("key-b") == std::string::npos);
    BOOST_TEST(seen.find("Workspace: a") == std::string::npos);
    BOOST_TEST(closeLog().find("key-b") == std::string::npos);
}

// ROUTE: a request with a key that no configuration has must not run.
BOOST_AUTO_TEST_CASE(RequestsWithoutAKnownKeyAreNotRun)
{
    setWorkspace("a", 1, { "key-a" });
    for (auto const* const fields : { "", "Api-Key: key\r\n", "Api-Key: key-ab\r\n", "Workspace: a\r\n" }) {
        auto const caller = askWith("/any/x", fields);
        BOOST_TEST(caller->status() == "401");
        BOOST_TEST(headerOf(caller->received(), "Challenge") == "Api-Key");
    }
    BOOST_TEST(askWith("/none/x", "")->status() == "404");
    BOOST_TEST(backend.requests().empty());
}

BOOST_AUTO_TEST_CASE(PublicRoutesNeedNoKey)
{
    setWorkspace("a", 1, { "key-a" });
    BOOST_TEST(askWith("/open/x", "Api-Key: odd\r\nWorkspace: a\r\n")->status() == "200");
    BOOST_TEST(headerOf(backend.requests().back(), "Workspace").empty());
    BOOST_TEST(backend.requests().back().find("odd") == std::string::npos);
    BOOST_TEST(askWith("/open/x", "Api-Key: key-a\r\n")->status() == "200");
    BOOST_TEST(headerOf(backend.requests().back(), "Workspace") == "a");
}

// A workspace's name that the caller chose must not pass even where no workspaces are configured.
BOOST_AUTO_TEST_CASE(WithoutWorkspacesKeysPassAndNamesDoNot)
{
    BOOST_TEST(askWith("/any/x", "Api-Key: own\r\nWorkspace: a\r\n")->status() == "200");
    BOOST_TEST(headerOf(backend.requests().back(), "Api-Key") == "own");
    BOOST_TEST(headerOf(backend.requests().back(), "Workspace").empty());
}

// CONFIG: a key that was taken away must not be accepted on a connection that is open.
BOOST_AUTO_TEST_CASE(ARevokedKeyIsRefusedOnAnOpenConnection)
{
    setWorkspace("a", 1, { "key-a", "key-2" });
    auto const caller = askWith("/any/x", "Api-Key: key-a\r\n");
    BOOST_TEST(caller->status() == "200");
    setWorkspace("a", 2, { "key-2" });
    caller->clearReceived();
    caller->send(withFields("/any/x", "Api-Key: key-a\r\n"));
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "401");
    caller->clearReceived();
    caller->send(withFields("/any/x", "Api-Key: key-2\r\n"));
    caller->waitForAnswer();
    BOOST_TEST(caller->status() == "200");
}

BOOST_AUTO_TEST_SUITE_END()

// A host that knows no configuration cannot tell an unknown key from one that it has not learned yet.
BOOST_FIXTURE_TEST_CASE(BeforeTheFirstConfigurationNoKeyIsUnknown, GatewayFixture)
{
    BOOST_TEST(ask("/any/x", "1")->status() == "503");
}
