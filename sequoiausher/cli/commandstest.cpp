#include "sequoiausher/cli/checkcommand.h"
#include "sequoiausher/cli/commandline.h"
#include "sequoiausher/cli/draincommand.h"
#include "sequoiausher/cli/explaincommand.h"
#include "sequoiausher/cli/reportcommand.h"
#include "sequoiausher/cli/statuscommand.h"
#include "sequoiausher/cli/watchcommand.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Sequoiausher;

namespace {

/** A folder with documents that goes away with the test. */
class Folder
{
public:
    Folder() : path(std::filesystem::temp_directory_path() / ("commandstest-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(this->path / "rules");
        std::filesystem::create_directories(this->path / "targets");
        this->write("targets/plates.ini", "[pool]\nkind = engine\nmodel = m\n");
        this->write("rules/fleet.ini",
                    "[rule plates]\nwhen.model = m\nwhen.time_of_day = 08:00-18:00\nthen.pool = plates\n");
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    ~Folder()
    {
        std::filesystem::remove_all(this->path);
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->path / name) << text;
    }

    std::filesystem::path path;
};

struct Outcome
{
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

Outcome run(const std::vector<std::string> &arguments)
{
    CommandLine line;
    line.add(std::make_unique<CheckCommand>());
    line.add(std::make_unique<DrainCommand>());
    line.add(std::make_unique<ExplainCommand>());
    line.add(std::make_unique<ReportCommand>());
    line.add(std::make_unique<StatusCommand>());
    line.add(std::make_unique<WatchCommand>());
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = line.run(arguments, out, err);
    return {code, out.str(), err.str()};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a wrong command line ends with 2 and says what is expected")
{
    struct BadLine
    {
        std::vector<std::string> arguments;
        std::string error;
    };
    const BadLine cases[] = {
        {{"chek"}, "found the unknown command 'chek'; did you mean 'check'?"},
        {{"check"}, "check: found neither --settings nor --documents"},
        {{"check", "--setings", "x"}, "see sequoiausher check --help"},
        {{"check", "--settings"}, "see sequoiausher check --help"},
        {{"check", "word"}, "found the word 'word', expected options alone"},
        {{"check", "--settings", "/nowhere/r.ini"}, "check: settings /nowhere/r.ini: the file cannot be read"},
        {{"check", "--documents", "/nowhere"}, "check: settings /nowhere: no such folder"},
        {{"explain"}, "explain: found no --documents"},
        {{"explain", "--documents", "/nowhere"}, "explain: settings /nowhere: no such folder"},
        {{"status"}, "status: settings --router: found neither --router nor --settings"},
        {{"status", "--router", "here"}, "status: settings --router: found 'here', expected an IP number and a port"},
        {{"status", "--settings", "/nowhere"}, "status: settings /nowhere: the file cannot be read"},
        {{"watch", "--router", "127.0.0.1:1", "--interval-ms", "5"}, "--interval-ms: found 5, expected at least 100"},
        {{"drain", "--router", "127.0.0.1:1", "--router", "127.0.0.1:2"}, "found several routers, expected one"},
        {{"drain", "--router", "127.0.0.1:1", "--token-file", "/nowhere"}, "/nowhere: the file cannot be read"},
        {{"report"}, "report: settings --router: found neither --router nor --settings"},
        {{"explain", "--prompt-bytes", "many"}, "see sequoiausher explain --help"},
    };
    for (const BadLine &bad : cases) {
        CAPTURE(bad.error);
        const Outcome outcome = run(bad.arguments);
        CHECK(outcome.code == ExitCode::BadInput);
        CHECK(contains(outcome.err, bad.error));
        CHECK(outcome.out.empty());
    }
}

TEST_CASE("where no router answers, each command ends with 3 and names the step and the peer")
{
    for (const char *command : {"status", "watch", "drain", "report", "explain"}) {
        CAPTURE(command);
        const Outcome outcome = run({command, "--router", "127.0.0.1:1"});
        CHECK(outcome.code == ExitCode::Unreachable);
        CHECK(contains(outcome.err, std::string(command) + ": connect router at 127.0.0.1:1: "));
        CHECK(outcome.out.empty());
    }
}

TEST_CASE("help names commands, examples and exit codes")
{
    CHECK(contains(run({"--help"}).out, "  explain   "));
    CHECK(contains(run({"check", "--help"}).out, "sequoiausher check --settings etc/router.ini"));
    CHECK(contains(run({"check", "--help"}).out, "2  wrong command line, settings or documents"));
}

TEST_CASE("check ends with 0 for good documents, and with 2 and every place for bad ones")
{
    const Folder folder;
    const std::string path = folder.path.string();
    CHECK(run({"check", "--documents", path}).code == ExitCode::Ok);
    folder.write("rules/fleet.ini", "[rule a]\nthen.pool = plate\n[rule b]\nthen.pool = plates\nthen.priority = x\n");
    const Outcome text = run({"check", "--documents", path});
    CHECK(text.code == ExitCode::BadInput);
    CHECK(contains(text.out, path + "/rules/fleet.ini:1: [rule a] then.pool: found the unknown pool 'plate'"));
    CHECK(contains(text.out, path + "/rules/fleet.ini:5:17: [rule b] then.priority: found 'x'"));
    CHECK(contains(text.out, "check: 2 files, 2 errors, 1 warning"));
    const Outcome json = run({"check", "--documents", path, "--json"});
    CHECK(json.code == ExitCode::BadInput);
    CHECK(contains(json.out, "\"good\":false"));
    CHECK(contains(json.out, "\"nearest\":\"plates\""));
}

TEST_CASE("explain says which rule decides, and why the others do not")
{
    const Folder folder;
    const std::vector<std::string> request{"explain", "--documents", folder.path.string(), "--model", "m", "--time"};
    const auto at = [&](const std::string &time) {
        std::vector<std::string> arguments = request;
        arguments.push_back(time);
        return run(arguments);
    };
    CHECK(at("08:00").code == ExitCode::Ok);
    CHECK(contains(at("08:00").out, "rules/fleet [rule plates]: decides"));
    CHECK(at("18:00").code == ExitCode::Failed);
    CHECK(contains(at("18:00").out, "no: when.time_of_day = 08:00-18:00, the request has 18:00"));
    CHECK(at("noon").code == ExitCode::BadInput);
    folder.write("rules/fleet.ini", "[rule a]\n");
    CHECK(at("08:00").code == ExitCode::BadInput);
    CHECK(contains(at("08:00").err, "/rules/fleet.ini:1: [rule a]: found neither then.pool nor then.refuse"));
}

TEST_CASE("explain names the target by the chat's order, the bound and the loads")
{
    const Folder folder;
    folder.write("rules/fleet.ini", "[rule plates]\nthen.pool = plates\n");
    folder.write("targets/plates.ini",
                 "[pool]\nkind = engine\nmodel = m\n[target a]\naddress = 127.0.0.1:1\ndata_centre = d\n"
                 "[target b]\naddress = 127.0.0.1:2\ndata_centre = d\nstate = leaving\n");
    const Outcome text = run({"explain", "--documents", folder.path.string(), "--chat", "42"});
    CHECK(text.code == ExitCode::Ok);
    CHECK(contains(text.out, "shard plates/0 of nobody, bound 2, the chat's order:"));
    CHECK(contains(text.out, "b=0(leaving)"));
    CHECK(contains(text.out, "explain: target a: "));
    const Outcome json = run({"explain", "--documents", folder.path.string(), "--chat", "42", "--json"});
    CHECK(contains(json.out, "\"chosen\":\"a\""));
}

TEST_CASE("explain names the target by the prefix's order where the rule goes by it and the request names one")
{
    const Folder folder;
    folder.write("rules/fleet.ini", "[rule plates]\nthen.pool = plates\nthen.policy = prefix-rendezvous\n");
    folder.write("targets/plates.ini",
                 "[pool]\nkind = engine\nmodel = m\n[target a]\naddress = 127.0.0.1:1\ndata_centre = d\n"
                 "[target b]\naddress = 127.0.0.1:2\ndata_centre = d\n");
    const auto explain = [&folder](const std::string &chat, const std::string &prefix) {
        std::vector<std::string> words{"explain", "--documents", folder.path.string(), "--chat", chat};
        if (!prefix.empty()) {
            words.insert(words.end(), {"--header", "X-Prefix-Id=" + prefix});
        }
        return run(words).out;
    };
    CHECK(contains(explain("42", ""), "the chat's order:"));
    CHECK(contains(explain("42", "orders-3"), "the prefix's order:"));
    CHECK(explain("42", "orders-3") == explain("43", "orders-3"));
}
