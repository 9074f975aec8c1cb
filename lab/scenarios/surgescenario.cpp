#include "lab/scenarios/surgescenario.h"

#include "lab/scenarios/livecalls.h"

#include <algorithm>
#include <functional>
#include <random>

namespace Sequoiausher::Lab {

namespace {

constexpr std::size_t organisations = 10;
constexpr double ownRate = 4.5;
constexpr double surgeFactor = 10;
/** Half a second each request: two engines of 16 places carry 64 a second, of which the calm time takes 70 %. */
constexpr std::size_t engineCount = 2;
constexpr int shortest = 16;
constexpr int longest = 24;
constexpr double urgentShare = 0.2;
constexpr double interactiveShare = 0.4;
constexpr double millisPerSecond = 1000;
constexpr double p95 = 0.95;
constexpr int firstErrorStatus = 400;
/** Not measured: connections and estimates warm up. */
constexpr Millis warmUp{1000};
/** The documents published last are in force everywhere by then. */
constexpr Millis settled{2000};

std::string nameOfOrganisation(std::size_t number)
{
    return "o" + std::to_string(number);
}

std::string rulesOf(const SurgePlan &plan)
{
    std::string text = "[rule plates]\nwhen.model = plate-model\nthen.pool = plate-model\nthen.queue_time_ms = 1000\n";
    if (plan.limitPerSecond > 0) {
        text += "then.rate_per_second = " + std::to_string(plan.limitPerSecond) + "\n";
    }
    return text;
}

/** The engines, each with few places. */
std::string smallPool(const std::vector<std::uint16_t> &ports, std::uint32_t capacity)
{
    std::string text = engineDocument(ports);
    const std::string known = "capacity = ";
    for (std::size_t at = text.find(known); at != std::string::npos; at = text.find(known, at + 1)) {
        text.replace(at, text.find('\n', at) - at, known + std::to_string(capacity));
    }
    return text;
}

void addCalls(LiveCalls &calls,
              std::size_t organisation,
              double rate,
              Millis from,
              Millis until,
              std::mt19937_64 &random)
{
    std::exponential_distribution<double> gap(rate / millisPerSecond);
    std::uniform_real_distribution<double> share(0, 1);
    double at = static_cast<double>(from.count) + gap(random);
    while (at < static_cast<double>(until.count)) {
        LiveCall call;
        call.at = Millis{static_cast<std::int64_t>(at)};
        call.organisation = nameOfOrganisation(organisation);
        const double drawn = share(random);
        call.requestClass = drawn < urgentShare      ? RequestClass::Urgent
            : drawn < urgentShare + interactiveShare ? RequestClass::Interactive
                                                     : RequestClass::Background;
        call.chat = call.organisation + "-" + std::to_string(random() % 40);
        call.tokens = shortest + static_cast<int>(random() % (longest - shortest));
        calls.add(call);
        at += gap(random);
    }
}

using Filter = std::function<bool(const LiveAnswer &)>;

/** What is measured of some calls. */
struct Group
{
    std::vector<double> firstTokens;
    std::size_t calls = 0;
    std::size_t refused = 0;

    double p95Ms()
    {
        if (this->firstTokens.empty()) {
            return 0;
        }
        std::sort(this->firstTokens.begin(), this->firstTokens.end());
        return this->firstTokens[static_cast<std::size_t>(static_cast<double>(this->firstTokens.size() - 1) * p95)];
    }

    double refusedShare() const
    {
        return this->calls == 0 ? 0 : static_cast<double>(this->refused) / static_cast<double>(this->calls);
    }
};

Group groupOf(const LiveCalls &calls, Millis from, Millis until, const Filter &filter)
{
    Group group;
    for (const auto &answer : calls.made()) {
        if (answer->call.at < from || answer->call.at >= until || !filter(*answer)) {
            continue;
        }
        group.calls += 1;
        if (answer->whole) {
            group.firstTokens.push_back(static_cast<double>((answer->firstAt - answer->startedAt).count));
        } else if (answer->status >= firstErrorStatus) {
            group.refused += 1;
        }
    }
    return group;
}

void judge(const LiveCalls &calls, const SurgePlan &plan, SurgeFigures &figures)
{
    const std::string surging = nameOfOrganisation(0);
    const Filter others = [&](const LiveAnswer &answer) {
        return answer.call.organisation != surging && answer.call.requestClass != RequestClass::Background;
    };
    const Filter urgent = [](const LiveAnswer &answer) { return answer.call.requestClass == RequestClass::Urgent; };
    const Filter background
        = [](const LiveAnswer &answer) { return answer.call.requestClass == RequestClass::Background; };
    const Filter surge = [&](const LiveAnswer &answer) { return answer.call.organisation == surging; };
    const Millis begin = plan.calm + warmUp;
    const Millis end = plan.calm + plan.surge;
    Group othersBefore = groupOf(calls, settled + warmUp, plan.calm, others);
    Group othersIn = groupOf(calls, begin, end, others);
    figures.othersP95CalmMs = othersBefore.p95Ms();
    figures.othersP95Ratio = othersIn.p95Ms() / std::max(1.0, othersBefore.p95Ms());
    figures.othersRefused = othersIn.refusedShare();
    Group urgentBefore = groupOf(calls, settled + warmUp, plan.calm, urgent);
    Group urgentIn = groupOf(calls, begin, end, urgent);
    figures.reviewDayP95Ratio = urgentIn.p95Ms() / std::max(1.0, urgentBefore.p95Ms());
    figures.reviewDayRefused = urgentIn.refusedShare();
    figures.backgroundShed = groupOf(calls, begin, end, background).refusedShare();
    figures.surgingRefused = groupOf(calls, begin, end, surge).refusedShare();
}

void countRefusals(const LiveCalls &calls, SurgeFigures &figures)
{
    for (const auto &answer : calls.made()) {
        figures.calls += 1;
        if (answer->status >= firstErrorStatus) {
            figures.refusals += 1;
            figures.refusedWithoutRetryAfter += answer->hasRetryAfter ? 0 : 1;
            figures.slowestRefusal = std::max(figures.slowestRefusal, answer->endedAt - answer->startedAt);
        } else if (!answer->whole) {
            figures.unanswered += 1;
        }
    }
}

} // namespace

SurgeFigures runSurge(const SurgePlan &plan)
{
    FleetOptions options;
    options.engines = engineCount;
    options.services = 0;
    options.engineStepMs = "25";
    options.firstStart = false;
    options.rules = rulesOf(plan);
    Fleet fleet(options);
    fleet.start();
    std::vector<std::string> names{"lab"};
    for (std::size_t i = 0; i < organisations; ++i) {
        names.push_back(nameOfOrganisation(i));
    }
    fleet.publish("organisations", liveOrganisations(names));
    fleet.publish(std::string("targets/") + enginePool, smallPool(fleet.enginePorts(), plan.capacity));
    LiveCalls calls(fleet, plan.seed);
    std::mt19937_64 random(plan.seed);
    SurgePlan shifted = plan;
    shifted.calm = plan.calm + settled;
    for (std::size_t i = 0; i < organisations; ++i) {
        const double factor = i == 0 ? surgeFactor : 1;
        addCalls(calls, i, ownRate, settled, shifted.calm, random);
        addCalls(calls, i, ownRate * factor, shifted.calm, shifted.calm + shifted.surge, random);
    }
    calls.run(Millis{5000});
    SurgeFigures figures;
    judge(calls, shifted, figures);
    countRefusals(calls, figures);
    return figures;
}

} // namespace Sequoiausher::Lab
