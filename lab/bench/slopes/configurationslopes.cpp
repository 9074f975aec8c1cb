#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/claims/witness.h"
#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/spread.h"
#include "sequoiausher/protocol/settings/fleetconfiguration.h"
#include "sequoiausher/state/targets/targettable.h"

#include <atomic>
#include <stdexcept>

namespace Sequoiausher {

namespace {

/** How large a configuration is. */
struct Scale
{
    std::size_t organisations = 270;
    std::size_t pools = 9;
    std::size_t targets = 10000;
    std::size_t routers = 1300;
};

constexpr std::size_t rulesOfOrganisation = 10;

std::string digestText(std::size_t number)
{
    const std::string text = std::to_string(number);
    const RequestId first{hash64(text, 0), hash64(text, 1)};
    const RequestId second{hash64(text, 2), hash64(text, 3)};
    return first.toHex() + second.toHex();
}

/** An IP number of its own for each. */
std::string host(std::size_t number)
{
    constexpr std::size_t values = 250;
    std::string text = "10.1.";
    text.append(std::to_string(number / values)).append(".").append(std::to_string(number % values));
    return text;
}

std::string organisationRules(std::size_t number)
{
    const std::string model = "model-" + std::to_string(number % 9);
    std::string body;
    for (std::size_t rule = 0; rule < rulesOfOrganisation; ++rule) {
        body.append("[rule r").append(std::to_string(rule));
        body.append("]\nwhen.class = background\nwhen.model = ").append(model);
        body.append("\nwhen.prompt_tokens = >=").append(std::to_string(8000 - rule));
        body.append("\nthen.pool = ").append(model);
        body.append("\nthen.priority = 7\nthen.in_flight = 4").append(std::to_string(rule)).append("\n\n");
    }
    return body;
}

std::string poolBody(const Scale &scale, std::size_t pool)
{
    std::string body = "[pool]\nkind = engine\nmodel = model-" + std::to_string(pool) + "\n\n";
    for (std::size_t i = pool; i < scale.targets; i += scale.pools) {
        body += "[target model-" + std::to_string(pool) + "-" + std::to_string(10000 + i) + "]\naddress = " + host(i)
            + ":8000\ndata_centre = brest-1\nstate = live\nincarnation = 1\ncapacity = 64\n\n";
    }
    return body;
}

std::string instancesBody(const Scale &scale)
{
    std::string body;
    for (std::size_t i = 0; i < scale.routers; ++i) {
        body += "[instance brest-1-router-" + std::to_string(i) + "]\naddress = " + host(i)
            + ":7001\npeer_address = " + host(i) + ":7101\ndata_centre = brest-1\nstate = live\n\n";
    }
    return body;
}

void put(DocumentSet &set, const std::string &name, std::string body)
{
    set[name] = std::make_shared<const Document>(Document{name, set.size() + 1, std::move(body), false});
}

DocumentSet documentsOf(const Scale &scale)
{
    DocumentSet set;
    put(set, "instances", instancesBody(scale));
    std::string organisations;
    for (std::size_t i = 0; i < scale.organisations; ++i) {
        organisations += "[organisation org-" + std::to_string(i) + "]\nkey_sha256 = " + digestText(i) + "\n\n";
        put(set, "rules/organisation/org-" + std::to_string(i), organisationRules(i));
    }
    put(set, "organisations", organisations);
    std::string fleetRules;
    for (std::size_t pool = 0; pool < scale.pools; ++pool) {
        const std::string name = "model-" + std::to_string(pool);
        put(set, "targets/" + name, poolBody(scale, pool));
        fleetRules.append("[rule ").append(name).append("]\nwhen.model = ").append(name);
        fleetRules.append("\nthen.pool = ").append(name).append("\n\n");
    }
    put(set, "rules/fleet", fleetRules + "[rule rest]\nthen.refuse = 404\nthen.refuse_text = none\n");
    return set;
}

/** What a router does as one organisation's rules change: it judges what is new, and compiles the whole set. */
struct ChangeCost
{
    double judge = 0;
    double compile = 0;
    double memory = 0;
};

double judgeTime(const DocumentSet &documents)
{
    DocumentTable table;
    for (const auto &entry : documents) {
        table.learn(*entry.second);
    }
    const FleetDocumentChecker checker;
    ConfigurationState state(checker);
    if (state.offer(table) != OfferResult::InForce) {
        throw std::runtime_error(std::string("the bench's documents are refused: ") + state.refusal()->what());
    }
    table.learn({"rules/organisation/org-0", table.highestRevision() + 1, organisationRules(0) + "; new\n", false});
    const double before = processorMicros();
    if (state.offer(table) != OfferResult::InForce) {
        throw std::runtime_error("a changed document is refused");
    }
    return processorMicros() - before;
}

ChangeCost costOf(const Scale &scale)
{
    const DocumentSet documents = documentsOf(scale);
    ChangeCost cost;
    cost.judge = judgeTime(documents);
    const double heapBefore = heapBytes();
    const double before = processorMicros();
    Problems problems;
    const auto fleet = compileFleet(documents, problems);
    cost.compile = processorMicros() - before;
    if (!fleet) {
        throw std::runtime_error("the bench's documents do not compile");
    }
    Problems().swap(problems);
    cost.memory = heapBytes() - heapBefore;
    return cost;
}

/** The decisions of one router, told of a configuration as the daemon's node tells them, whatever has changed. */
class Told
{
public:
    explicit Told(const FleetConfiguration &fleet)
        : self(fleet.instances.front().instance)
        , membership({this->self, DataCentreId{"brest-1"}, 1}, 1, {})
        , spread(this->self, 1, {})
        , shards(ShardSettings{})
        , owned(this->self, OwnerSettings{}, 1)
        , witness(this->self, ClaimParameters{}, Millis{0})
    {
    }

    void apply(const FleetConfiguration &fleet)
    {
        std::vector<ListedInstance> listed;
        std::vector<InstanceId> names;
        for (const InstanceDescription &row : fleet.instances) {
            listed.push_back({row.instance, row.dataCentre});
            names.push_back(row.instance);
        }
        this->membership.setListed(listed);
        this->witness.setInstances(Millis{1}, makeInstanceList(names));
        for (const PoolDescription &pool : fleet.pools) {
            this->targets.applyPool(Millis{1}, pool);
            for (const TargetDescription &target : pool.targets) {
                this->membership.targetNews(TargetNews{target.target, target.life});
            }
        }
        this->spread.setFleet(Millis{1}, {this->membership.listed(), this->membership.reachable()});
        this->shards.setInstances(this->membership.live());
        for (const auto &view : this->targets.pools()) {
            this->shards.setPool(view);
        }
        this->owned.update(Millis{1}, this->shards);
    }

private:
    InstanceId self;
    Membership membership;
    Spread spread;
    TargetTable targets;
    ShardMap shards;
    OwnedShards owned;
    Witness witness;
};

/** The second time, when nothing is new: what each change of any document costs beside its compilation. */
double applyTime(const Scale &scale)
{
    Problems problems;
    const auto fleet = compileFleet(documentsOf(scale), problems);
    Told told(*fleet);
    told.apply(*fleet);
    constexpr int times = 5;
    const double before = processorMicros();
    for (int i = 0; i < times; ++i) {
        told.apply(*fleet);
    }
    return (processorMicros() - before) / times;
}

using Scaled = Scale (*)(std::size_t);

void slopesBy(const std::string &unit, const std::vector<std::size_t> &sizes, Scaled scaled)
{
    std::vector<SlopeSample> judge;
    std::vector<SlopeSample> compile;
    std::vector<SlopeSample> memory;
    for (const std::size_t size : sizes) {
        const ChangeCost cost = costOf(scaled(size));
        judge.push_back({static_cast<double>(size), cost.judge});
        compile.push_back({static_cast<double>(size), cost.compile});
        memory.push_back({static_cast<double>(size), cost.memory});
    }
    printSlope("configuration_judge_time_per_" + unit, judge, "us");
    printSlope("configuration_compile_time_per_" + unit, compile, "us");
    printSlope("configuration_memory_per_" + unit, memory, "bytes");
}

void wholeCosts()
{
    const ChangeCost target = costOf(Scale{});
    printFigure("configuration_judge_time_target_size", target.judge, "us");
    printFigure("configuration_compile_time_target_size", target.compile, "us");
    printFigure("configuration_memory_target_size", target.memory, "bytes");
    printFigure("configuration_apply_time_target_size", applyTime(Scale{}), "us");
    const ChangeCost kentekenlab = costOf({10, 2, 16, 7});
    printFigure("configuration_judge_time_today", kentekenlab.judge, "us");
    printFigure("configuration_compile_time_today", kentekenlab.compile, "us");
    printFigure("configuration_memory_today", kentekenlab.memory, "bytes");
    printFigure("configuration_apply_time_today", applyTime({10, 2, 16, 7}), "us");
    const DocumentSet documents = documentsOf(Scale{});
    double bytes = 0;
    for (const auto &entry : documents) {
        bytes += static_cast<double>(entry.second->body.size());
    }
    printFigure("configuration_documents", static_cast<double>(documents.size()), "documents");
    printFigure("configuration_bodies", bytes, "bytes");
    const auto bodyOf = [&](const char *name) { return static_cast<double>(documents.at(name)->body.size()); };
    printFigure("configuration_body_instances", bodyOf("instances"), "bytes");
    printFigure("configuration_body_pool", bodyOf("targets/model-0"), "bytes");
    printFigure("configuration_body_organisation", bodyOf("rules/organisation/org-0"), "bytes");
}

void swapTime()
{
    Problems problems;
    const auto first = compileFleet(documentsOf({10, 2, 16, 7}), problems);
    const auto second = compileFleet(documentsOf({10, 2, 16, 7}), problems);
    std::atomic<std::shared_ptr<const FleetConfiguration>> current(first);
    constexpr int swaps = 100000;
    const double before = processorMicros();
    for (int i = 0; i < swaps; ++i) {
        current = i % 2 == 0 ? second : first;
    }
    printFigure("configuration_swap_time", (processorMicros() - before) / swaps, "us");
}

} // namespace

void measureConfiguration()
{
    slopesBy("organisation", {10, 90, 180, 270}, [](std::size_t size) { return Scale{size, 9, 16, 7}; });
    slopesBy("target", {16, 1000, 3000, 10000}, [](std::size_t size) { return Scale{10, 9, size, 7}; });
    slopesBy("router", {7, 100, 500, 1300}, [](std::size_t size) { return Scale{10, 9, 16, size}; });
    wholeCosts();
    swapTime();
    std::vector<SlopeSample> apply;
    for (const std::size_t targets : {16U, 1000U, 3000U, 10000U}) {
        apply.push_back({static_cast<double>(targets), applyTime({10, 9, targets, 1300})});
    }
    printSlope("configuration_apply_time_per_target", apply, "us");
}

} // namespace Sequoiausher
