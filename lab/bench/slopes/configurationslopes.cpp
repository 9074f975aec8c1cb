#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/claims/witness.h"
#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/spread.h"
#include "sequoiausher/protocol/settings/configurationchanges.h"
#include "sequoiausher/protocol/settings/fleetcompiler.h"
#include "sequoiausher/state/targets/targettable.h"

#include <algorithm>
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

/** The configuration of one router, offered documents as the daemon's node offers them. */
class Configured
{
public:
    explicit Configured(const Scale &scale) : state(this->compiler)
    {
        for (const auto &entry : documentsOf(scale)) {
            this->table.learn(*entry.second);
        }
        this->offer();
    }

    void offer()
    {
        if (this->state.offer(this->table) != OfferResult::InForce) {
            throw std::runtime_error(std::string("the bench's documents are refused: ")
                                     + (this->state.refusal() ? this->state.refusal()->what() : "nothing is new"));
        }
    }

    std::shared_ptr<const FleetConfiguration> fleet() const
    {
        return this->compiler.compiled();
    }

    DocumentTable table;
    FleetCompiler compiler;
    ConfigurationState state;
};

/** What a whole set costs that a router learns at once: the time to judge and compile it, and the memory it holds. */
struct WholeCost
{
    double time = 0;
    double memory = 0;
};

WholeCost costOf(const Scale &scale)
{
    DocumentTable table;
    for (const auto &entry : documentsOf(scale)) {
        table.learn(*entry.second);
    }
    WholeCost cost;
    const double heapBefore = heapBytes();
    const double before = processorMicros();
    FleetCompiler compiler;
    ConfigurationState state(compiler);
    if (state.offer(table) != OfferResult::InForce) {
        throw std::runtime_error(std::string("the bench's documents are refused: ") + state.refusal()->what());
    }
    cost.time = processorMicros() - before;
    cost.memory = heapBytes() - heapBefore;
    return cost;
}

/** The decisions of one router, told of what changed in a configuration as the daemon's node tells them. */
class Told
{
public:
    explicit Told(const FleetConfiguration &fleet)
        : self(fleet.instances->front().instance)
        , membership({this->self, DataCentreId{"brest-1"}, 1}, 1, {})
        , spread(this->self, 1, {})
        , shards(ShardSettings{})
        , owned(this->self, OwnerSettings{}, 1)
        , witness(this->self, ClaimParameters{}, Millis{0})
    {
    }

    void apply(const FleetConfiguration *previous, const FleetConfiguration &fleet)
    {
        const bool newInstances = instancesChanged(previous, fleet);
        const PoolChanges changes = poolChanges(previous, fleet);
        if (newInstances) {
            this->applyInstances(*fleet.instances);
        }
        this->applyPools(changes);
        if (newInstances || !changes.empty()) {
            this->poolsChanged();
        }
    }

    /** Every entry reports to the owned shards, as after each change of owners: an owner awaits those that did not. */
    void hearEntries()
    {
        Outbox answers;
        for (const ShardId &shard : this->shards.shards()) {
            if (this->shards.ownerOf(shard) != this->self) {
                continue;
            }
            for (const InstanceId &entry : this->shards.instances()) {
                this->owned.receive(Millis{1}, entry, HoldingsReport{shard.pool, shard.shard, 1, {}}, answers);
            }
        }
    }

private:
    void applyInstances(const std::vector<InstanceDescription> &instances)
    {
        std::vector<ListedInstance> listed;
        std::vector<InstanceId> names;
        for (const InstanceDescription &row : instances) {
            listed.push_back({row.instance, row.dataCentre});
            names.push_back(row.instance);
        }
        this->membership.setListed(listed);
        this->witness.setInstances(Millis{1}, makeInstanceList(names));
        this->spread.setFleet(Millis{1}, {this->membership.listed(), this->membership.reachable()});
        this->shards.setInstances(this->membership.live());
    }

    void applyPools(const PoolChanges &changes)
    {
        for (const auto &pool : changes.changed) {
            this->targets.applyPool(Millis{1}, *pool);
        }
        for (const TargetDescription &target : changes.targets) {
            this->membership.addTargetNews(TargetNews{target.target, target.life});
        }
    }

    void poolsChanged()
    {
        std::vector<std::shared_ptr<const PoolView>> views = this->targets.pools();
        for (const auto &view : views) {
            if (std::find(this->toldPools.begin(), this->toldPools.end(), view) == this->toldPools.end()) {
                this->shards.setPool(view);
            }
        }
        this->toldPools = std::move(views);
        this->owned.update(Millis{1}, this->shards);
    }

    InstanceId self;
    Membership membership;
    Spread spread;
    TargetTable targets;
    ShardMap shards;
    OwnedShards owned;
    Witness witness;
    std::vector<std::shared_ptr<const PoolView>> toldPools;
};

/** One document that changes forth and back. */
struct Change
{
    std::string figure;
    std::string document;
    std::string body;
};

/** What each change costs: the document judged, the set compiled, the decisions told. */
void changeTime(const Scale &scale, const Change &change)
{
    Configured configured(scale);
    std::shared_ptr<const FleetConfiguration> current = configured.fleet();
    Told told(*current);
    told.apply(nullptr, *current);
    told.hearEntries();
    const std::string earlier = configured.table.find(change.document)->body;
    constexpr int times = 20;
    double offers = 0;
    double tells = 0;
    for (int i = 0; i < times; ++i) {
        const Revision revision = configured.table.highestRevision() + 1;
        configured.table.learn({change.document, revision, i % 2 == 0 ? change.body : earlier, false});
        const double before = processorMicros();
        configured.offer();
        const double offered = processorMicros();
        const std::shared_ptr<const FleetConfiguration> fleet = configured.fleet();
        told.apply(current.get(), *fleet);
        current = fleet;
        tells += processorMicros() - offered;
        offers += offered - before;
    }
    printFigure(change.figure, (offers + tells) / times, "us");
    printFigure(change.figure + "_judge_and_compile", offers / times, "us");
    printFigure(change.figure + "_apply", tells / times, "us");
}

std::string withOneRowChanged(std::string body)
{
    const std::string live = "state = live";
    return body.replace(body.find(live), live.size(), "state = leaving");
}

void changeTimes(const std::string &size, const Scale &scale)
{
    changeTime(scale,
               {"configuration_change_time_organisation_" + size, "rules/organisation/org-0", organisationRules(1)});
    changeTime(scale,
               {"configuration_change_time_pool_" + size, "targets/model-0", withOneRowChanged(poolBody(scale, 0))});
    changeTime(scale,
               {"configuration_change_time_instances_" + size, "instances", withOneRowChanged(instancesBody(scale))});
}

using Scaled = Scale (*)(std::size_t);

void slopesBy(const std::string &unit, const std::vector<std::size_t> &sizes, Scaled scaled)
{
    std::vector<SlopeSample> time;
    std::vector<SlopeSample> memory;
    for (const std::size_t size : sizes) {
        const WholeCost cost = costOf(scaled(size));
        time.push_back({static_cast<double>(size), cost.time});
        memory.push_back({static_cast<double>(size), cost.memory});
    }
    printSlope("configuration_whole_time_per_" + unit, time, "us");
    printSlope("configuration_memory_per_" + unit, memory, "bytes");
}

void wholeCosts(const std::string &size, const Scale &scale)
{
    const WholeCost cost = costOf(scale);
    printFigure("configuration_whole_time_" + size, cost.time, "us");
    printFigure("configuration_memory_" + size, cost.memory, "bytes");
}

void bodySizes()
{
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
    const auto first = Configured({10, 2, 16, 7}).fleet();
    const auto second = Configured({10, 2, 16, 7}).fleet();
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
    const Scale targetSize;
    const Scale today{10, 2, 16, 7};
    wholeCosts("target_size", targetSize);
    wholeCosts("today", today);
    changeTimes("target_size", targetSize);
    changeTimes("today", today);
    bodySizes();
    swapTime();
}

} // namespace Sequoiausher
