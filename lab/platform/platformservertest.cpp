#include "lab/platform/platformserver.h"

#include "lab/support/labcall.h"
#include "sequoiausher/base/error.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QDir>
#include <QtCore/QFile>
#include <QtCore/QJsonArray>
#include <QtCore/QTemporaryDir>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

/** A service that listens, and a caller of it. */
struct Bench
{
    Bench() : platform(HttpServerOptions{}), caller((this->platform.listen(), this->platform.port()))
    {
    }

    PlatformServer platform;
    LabCaller caller;
};

} // namespace

TEST_CASE("documents are loaded from a folder, listed, read and watched")
{
    const QTemporaryDir folder;
    QDir(folder.path()).mkdir("rules");
    QFile file(folder.filePath("rules/fleet.ini"));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write("[rule default]\n");
    file.close();
    Bench bench;
    bench.platform.load(folder.path().toStdString());
    CHECK_THROWS_AS(bench.platform.load("/nonexistent"), Error);
    const QJsonObject listing = bench.caller.call("GET", "/v1/documents").json();
    CHECK(listing.value("revision").toInteger() == 1);
    CHECK(listing.value("documents").toArray().at(0).toObject().value("name").toString() == "rules/fleet");
    const LabAnswer document = bench.caller.call("GET", "/v1/documents/rules/fleet");
    CHECK(document.body == "[rule default]\n");
    CHECK(document.headers.value("X-Revision") == "1");
    CHECK(bench.caller.call("GET", "/v1/documents/rules/none").status == 404);
    const auto watch = bench.caller.start("GET", "/v1/watch?after=1&timeout_ms=4000");
    CHECK(!LabCaller::waitFor([&watch] { return watch->whole; }, Millis{50}));
    bench.caller.call("PUT", "/lab/documents/organisations", "[organisation a]\n");
    CHECK(LabCaller::waitFor([&watch] { return watch->whole; }));
    CHECK(watch->json().value("revision").toInteger() == 2);
    const LabAnswer timedOut = bench.caller.call("GET", "/v1/watch?after=2&timeout_ms=30");
    CHECK(timedOut.json().value("documents").toArray().isEmpty());
    const QJsonObject reads = bench.caller.call("GET", "/lab/reads").json();
    CHECK(reads.value("lists").toInteger() == 1);
    CHECK(reads.value("gets").toInteger() == 2);
    CHECK(reads.value("watches").toInteger() == 2);
}

// Symptom: lab-platform --documents docs listed docs/rules/fleet. The folder was given relative to the current one;
// the names were made relative to the folder from paths that were relative too, which kept the folder's own name.
TEST_CASE("a folder given relative to the current one names its documents as well")
{
    const QTemporaryDir folder;
    QDir(folder.path()).mkdir("documents");
    QFile file(folder.filePath("documents/organisations.ini"));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.close();
    const QString before = QDir::currentPath();
    REQUIRE(QDir::setCurrent(folder.path()));
    Bench bench;
    bench.platform.load("documents");
    QDir::setCurrent(before);
    CHECK(bench.caller.call("GET", "/v1/documents/organisations").status == 200);
}

TEST_CASE("a down service closes calls and watches, while the lab's own calls work")
{
    Bench bench;
    const auto watch = bench.caller.start("GET", "/v1/watch?after=0&timeout_ms=4000");
    CHECK(!LabCaller::waitFor([&watch] { return watch->whole; }, Millis{50}));
    CHECK(bench.caller.call("POST", "/lab/mode", R"({"mode": "down"})").status == 200);
    CHECK(LabCaller::waitFor([&watch] { return watch->error.has_value(); }));
    CHECK(bench.caller.call("GET", "/v1/documents").error.has_value());
    CHECK(bench.caller.call("GET", "/lab/reads").json().value("refused").toInteger() == 1);
    CHECK(bench.caller.call("POST", "/lab/mode", R"({"mode": "up"})").status == 200);
    CHECK(bench.caller.call("GET", "/v1/documents").status == 200);
    CHECK(bench.caller.call("POST", "/lab/mode", R"({"mode": "asleep"})").status == 400);
}

TEST_CASE("a target's state is edited, and becomes visible after the list lag")
{
    Bench bench;
    bench.caller.call("PUT", "/lab/documents/targets/plates", "[pool]\n[target p1]\nstate = live\n");
    bench.caller.call("POST", "/lab/mode", R"({"list_lag_ms": 100})");
    const auto watch = bench.caller.start("GET", "/v1/watch?after=1&timeout_ms=4000");
    const std::string edit = R"({"pool": "plates", "name": "p1", "state": "leaving"})";
    CHECK(bench.caller.call("POST", "/lab/target", edit).status == 200);
    CHECK(bench.caller.call("GET", "/v1/documents/targets/plates").headers.value("X-Revision") == "1");
    CHECK(LabCaller::waitFor([&watch] { return watch->whole; }));
    CHECK(bench.caller.call("GET", "/v1/documents/targets/plates").body == "[pool]\n[target p1]\nstate = leaving\n");
    CHECK(bench.caller.call("POST", "/lab/target", R"({"pool": "none", "name": "p1"})").status == 404);
}
