#pragma once

// The document `instances`: the routers of the fleet, as the platform lists them.
//
//     Problems problems;
//     for (const InstanceDescription &instance : parseInstances(body, "instances", problems)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** One router. */
struct InstanceDescription
{
    InstanceId instance;
    /** IP number and port for callers. */
    std::string address;
    /** IP number and port for other routers. */
    std::string peerAddress;
    /** IP number and port for operators; empty where the instance has no listener for them. */
    std::string operatorsAddress;
    DataCentreId dataCentre;
    LifeState state = LifeState::Live;
    /**
     * The operators' word that this incarnation starts a fleet that never ran: its witness votes at once. A restart
     * has another incarnation, so the word does not free it.
     */
    std::optional<Incarnation> firstStart;

    bool operator==(const InstanceDescription &) const = default;
};

/** Reads the document; appends everything that is wrong to problems, naming file. */
std::vector<InstanceDescription> parseInstances(std::string_view body, const std::string &file, Problems &problems);

} // namespace Sequoiausher
