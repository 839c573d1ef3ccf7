#include "Command.h"
#include "Table.h"

#include <LibConfig/IniDocument.h>
#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>

#include <algorithm>
#include <array>

namespace Ctl {

namespace {

    constexpr std::string_view baseComment = "# base revision: ";

    /// `edit show` writes the revision in the first line, so that `edit apply` detects edits made in between.
    std::optional<std::uint64_t> baseFromComment(std::string_view text)
    {
        if (!text.starts_with(baseComment))
            return std::nullopt;
        auto const line = text.substr(0, text.find('\n')).substr(baseComment.size());
        auto const number = Config::parseNumber(line);
        return number.error ? std::nullopt : std::optional(number.value);
    }

    Operator::OperatorResult<Core::Revision> chooseBase(
        Context const& context, std::string_view text, Operator::OperatorClient& client)
    {
        if (context.text("base") == "current")
            return TRY(client.tables({})).revision;
        if (auto const base = context.number("base"))
            return Core::Revision { *base };
        if (auto const base = baseFromComment(text))
            return Core::Revision { *base };
        throw UsageError { "give --base REVISION or --base current; documents of 'edit show' name their revision" };
    }

    /// Reports that the outcome is open and how to find out.
    ExitCode failChange(Operator::OperatorError const& error, Core::EditId const& id)
    {
        auto const code = fail(error);
        if (code == ExitCode::Timeout)
            std::cerr << "primroseshiftctl: repeat the command with --id " << id.value
                      << " to learn the outcome; it is not applied twice\n";
        return code;
    }

    ExitCode waitInEffect(Context const& context, Operator::OperatorClient& client, Core::Revision revision)
    {
        // The server bounds one wait, so a longer one is made of several.
        auto remaining = context.duration("wait");
        auto part = std::min(remaining, Operator::maxWait);
        auto result = client.waitUntilInEffect({ revision, part });
        while (result.isError() && std::holds_alternative<Operator::Timeout>(result.error()) && remaining > part) {
            remaining -= part;
            part = std::min(remaining, Operator::maxWait);
            result = client.waitUntilInEffect({ revision, part });
        }
        if (result.isError()) {
            std::cerr << "primroseshiftctl: revision " << revision.value
                      << " is accepted, but not known to be in effect everywhere\n";
            return fail(result.error());
        }
        if (!context.isJson())
            std::cout << "revision " << revision.value << " is in effect everywhere\n";
        return ExitCode::Success;
    }

    ExitCode applyEdit(Context const& context, std::string const& path)
    {
        auto const text = Config::readFile(path);
        auto tables = text.isError() ? Core::Result<Config::TablesDocument, Config::ConfigErrors>(text.error())
                                     : Config::parseTables(text.value(), path);
        if (tables.isError()) {
            for (auto const& error : tables.error())
                std::cerr << Config::describe(error) << "\n";
            return ExitCode::Invalid;
        }
        auto client = context.client();
        auto const base = chooseBase(context, text.value(), client);
        if (base.isError())
            return fail(base.error());
        Operator::EditRequest const request { context.editId(), base.value(), context.author(),
            context.text("comment").value_or(""), std::move(tables.value().pools), std::move(tables.value().routes) };
        auto const result = client.submitEdit(request);
        if (result.isError())
            return failChange(result.error(), request.id);
        static_cast<void>(show(context, result, [](Operator::EditResponse const& response) {
            std::cout << "revision " << response.revision.value << " accepted"
                      << (response.isRepeated ? " by an earlier submission of this edit id" : "") << "\n";
        }));
        return context.options.count("wait") > 0 ? waitInEffect(context, client, result.value().revision)
                                                 : ExitCode::Success;
    }

    ExitCode showTables(Context const& context)
    {
        Operator::TablesRequest request;
        if (auto const revision = context.number("revision"))
            request.revision = Core::Revision { *revision };
        return show(context, context.client().tables(request), [](Operator::TablesResponse const& response) {
            std::cout << baseComment << response.revision.value << "\n"
                      << Config::formatTables({ response.pools, response.routes });
        });
    }

    ExitCode runEdit(Context const& context)
    {
        auto const arguments = context.arguments();
        if (arguments.size() == 2 && arguments[0] == "apply")
            return applyEdit(context, arguments[1]);
        if (arguments.size() == 1 && arguments[0] == "show")
            return showTables(context);
        throw UsageError { "expected: edit apply FILE, or edit show" };
    }

    Operator::ServiceTarget targetOf(Context const& context)
    {
        auto const server = context.text("server");
        auto const domain = context.text("domain");
        context.expectNoArguments();
        if (server.has_value() == domain.has_value())
            throw UsageError { "give either --server or --domain" };
        if (server)
            return Core::ServerName { *server };
        return Core::FailureDomain { *domain };
    }

    template <typename Request>
    ExitCode changeService(Context const& context, char const* done,
        Operator::OperatorResult<Operator::ServiceResponse> (Operator::OperatorClient::*call)(Request const&))
    {
        Request const request { context.editId(), targetOf(context), context.author(),
            context.text("comment").value_or("") };
        auto client = context.client();
        auto const result = (client.*call)(request);
        if (result.isError())
            return failChange(result.error(), request.id);
        return show(context, result, [done](Operator::ServiceResponse const& response) {
            for (auto const& server : response.servers)
                std::cout << server.value << " " << done << "\n";
        });
    }

    ExitCode runDrain(Context const& context)
    {
        return changeService<Operator::DrainRequest>(context, "is draining", &Operator::OperatorClient::drain);
    }

    ExitCode runReturn(Context const& context)
    {
        return changeService<Operator::ReturnRequest>(
            context, "returns to service", &Operator::OperatorClient::returnToService);
    }

    ExitCode listQuarantine(Context const& context)
    {
        return show(context, context.client().quarantine(), [](Operator::QuarantineResponse const& response) {
            Table table({ "FINGERPRINT", "ROUTE", "CRASHES", "EXPIRES IN" });
            for (auto const& entry : response.entries)
                table.add({ Operator::formatDigest(entry.fingerprint), entry.route.value, std::to_string(entry.crashes),
                    std::to_string(Core::toMilliseconds(entry.remaining)) + "ms" });
            table.print(std::cout);
        });
    }

    ExitCode liftQuarantine(Context const& context, std::string const& text)
    {
        auto const fingerprint = Operator::parseDigest(text);
        if (!fingerprint)
            throw UsageError { "'" + text + "' is not a fingerprint of 32 hexadecimal digits" };
        auto const result = context.client().liftQuarantine({ *fingerprint, context.author() });
        return show(context, result, [&](auto const&) { std::cout << text << " lifted\n"; });
    }

    ExitCode runQuarantine(Context const& context)
    {
        auto const arguments = context.arguments();
        if (arguments.empty() || (arguments.size() == 1 && arguments[0] == "list"))
            return listQuarantine(context);
        if (arguments.size() == 2 && arguments[0] == "lift")
            return liftQuarantine(context, arguments[1]);
        throw UsageError { "expected: quarantine list, or quarantine lift FINGERPRINT" };
    }

    void addAuthorOption(cxxopts::Options& options)
    {
        addClientOptions(options);
        options.add_options()("author", "Who makes the change; default: $USER", cxxopts::value<std::string>(), "NAME");
    }

    void addChangeOptions(cxxopts::Options& options)
    {
        addAuthorOption(options);
        options.add_options()("id", "Edit id; a repeated id gives the first outcome. Default: a new one",
            cxxopts::value<std::string>(),
            "ID")("comment", "Why the change is made", cxxopts::value<std::string>(), "TEXT");
    }

    void addServiceOptions(cxxopts::Options& options)
    {
        addChangeOptions(options);
        options.add_options()("server", "One backend server", cxxopts::value<std::string>(), "NAME")(
            "domain", "A whole failure domain", cxxopts::value<std::string>(), "NAME");
    }

    void addEditOptions(cxxopts::Options& options)
    {
        addChangeOptions(options);
        options.add_options()("base",
            "Revision that the edit was based on, or 'current'; default: the one that 'edit show' wrote",
            cxxopts::value<std::string>(), "REVISION")("wait", "Wait until the edit is in effect everywhere",
            cxxopts::value<std::string>()->implicit_value("10s"),
            "DURATION")("revision", "For 'edit show': this revision", cxxopts::value<std::string>(), "REVISION");
    }

} // namespace

std::span<Command const> changeCommands()
{
    static std::array<Command, 4> const commands { {
        { "edit", "apply FILE | show", "Replace pools and routes by a document, or print them as one", addEditOptions,
            runEdit },
        { "drain", "", "Take a backend server or failure domain out of service", addServiceOptions, runDrain },
        { "return", "", "Take a backend server or failure domain back into service", addServiceOptions, runReturn },
        { "quarantine", "list | lift FINGERPRINT", "Show or lift quarantines of requests that crash backend servers",
            addAuthorOption, runQuarantine },
    } };
    return commands;
}

} // namespace Ctl
