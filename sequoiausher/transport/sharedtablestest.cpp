// The shared tables under several threads. It stands in this layer because the ones below start no threads; run it with
// the tsan preset too.

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/state/answers/answertable.h"

#include <doctest/doctest.h>

#include <functional>
#include <sstream>
#include <thread>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr int threadCount = 4;
constexpr int rounds = 1000;

void onThreads(const std::function<void(int)> &work)
{
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back(work, i);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace

TEST_CASE("lines of several threads stay whole")
{
    LogSettings settings;
    settings.repeatsPerInterval = 0;
    std::ostringstream stream;
    const Log log(settings, stream, [] { return Millis{1000}; });
    onThreads([&log](int) {
        for (int i = 0; i < rounds; ++i) {
            log.info(LogPart::Main, "same");
        }
    });
    std::istringstream lines(stream.str());
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        REQUIRE(line == "1970-01-01T00:00:01.000Z info main: same");
        ++count;
    }
    CHECK(count == threadCount * rounds);
}

TEST_CASE("metrics lose no count")
{
    Metrics metrics({2, 2, 2});
    onThreads([&metrics](int thread) {
        for (int i = 0; i < rounds; ++i) {
            const RequestLabels labels{OrganisationId{std::to_string(i % 5)}, RequestClass::Urgent, "trial", "a"};
            metrics.observe(labels, Measure::QueueTime, i);
            metrics.add("requests_total{thread=\"" + std::to_string(thread) + "\"}");
        }
    });
    const MetricsSnapshot snapshot = metrics.snapshot();
    std::uint64_t counted = 0;
    for (const auto &entry : snapshot.counters) {
        counted += entry.second;
    }
    const auto queueTime = static_cast<std::size_t>(Measure::QueueTime);
    CHECK(counted == threadCount * rounds);
    CHECK(snapshot.arms.at({"trial", "a"}).measures[queueTime].count == threadCount * rounds);
}

TEST_CASE("readers on other threads get every byte of an answer")
{
    AnswerTable table({1 << 20, 1 << 20, Millis{1000}});
    const RequestId request{0, 1};
    table.start(Millis{0}, request, ClaimKey{1, 1}, 0);
    std::vector<std::string> seen(threadCount);
    onThreads([&table, &seen, request](int thread) {
        if (thread == 0) {
            for (int i = 0; i < rounds; ++i) {
                table.append(request, "0123456789");
            }
            table.finish(Millis{1}, request, AnswerState::Complete, "");
        }
        AnswerCursor cursor = *table.attach(request, nullptr);
        AnswerPart part;
        do {
            part = table.read(cursor, 333);
            seen[static_cast<std::size_t>(thread)] += part.bytes;
        } while (part.state == AnswerState::Running);
        table.detach(cursor);
    });
    for (const std::string &text : seen) {
        CHECK(text.size() == rounds * 10);
    }
}
