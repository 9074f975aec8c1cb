#pragma once

// The texts of a lab fleet: what its platform publishes and its routers' settings, from options and ports.
//
//     const std::string text = instancesDocument(rows);

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** What a test wants; the defaults make the fleet of seven of today. */
struct FleetOptions
{
    std::size_t routers = 7;
    std::size_t engines = 4;
    std::size_t services = 4;
    /** Short, so that a test can outlive it. */
    Millis claimLifetime{20000};
    Millis dispatchWindow{2000};
    Millis settleTime{3000};
    Millis firstByteTimeout{10000};
    /** How long a router says that it leaves before it takes no connections, and what its requests get then. */
    Millis drainNotice{500};
    Millis drainGrace{10000};
    std::uint32_t workers = 1;
    /** A lab-relay before each router's address for peers; see Fleet::setLink(). */
    bool relays = false;
    /** Whether start() does the operators' first start. Without it keyed requests are refused for the lifetime. */
    bool firstStart = true;
    std::string engineStepMs = "3.3";
    int serviceLatencyMs = 5;
    /** Added to each router's settings; whole sections other than those that routerSettings() writes. */
    std::string moreSettings;
    /** The document rules/fleet; empty for fleetRules(). */
    std::string rules;
};

/** One row of the list of instances. */
struct InstanceRow
{
    std::string name;
    std::uint16_t port = 0;
    std::uint16_t peerPort = 0;
    std::string state = "live";
    /** 0 for none. */
    std::int64_t firstStart = 0;
};

/** One router's own settings. */
struct RouterRow
{
    std::string name;
    std::string dataCentre;
    std::uint16_t port = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t platformPort = 0;
};

/** The caller's key of the lab's one organisation, `lab`. */
inline constexpr const char *labApiKey = "key-lab";

/** The pools, which are also the names of their documents below `targets/`. */
inline constexpr const char *enginePool = "plate-model";
inline constexpr const char *servicePool = "order-desk";

/** The data centre of the router or target with this number, from 0: four in turn. */
std::string dataCentreOf(std::size_t number);

std::string routerSettings(const RouterRow &router, const FleetOptions &options);
std::string instancesDocument(const std::vector<InstanceRow> &rows);
std::string organisationsDocument();
/** Targets plate-1, plate-2, … (services: desk-1, …) at these ports. */
std::string engineDocument(const std::vector<std::uint16_t> &ports);
std::string serviceDocument(const std::vector<std::uint16_t> &ports);
/** Chat completions of model `plate-model` to the engines, `/orders*` to the services with a key required. */
std::string fleetRules();

} // namespace Sequoiausher::Lab
