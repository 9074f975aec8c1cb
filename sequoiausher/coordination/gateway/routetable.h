#pragma once

// One version of a gateway's configuration with lookups by host and path, key and service. Immutable: a request keeps
// the table by which it was routed.
//
//     const RouteTable table(configuration);
//     const GatewayRoute *route = table.find("plates.example", "/orders/17?full=1");
//     const GatewayOrganisation *caller = table.organisationOf(key);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <memory>
#include <string_view>

namespace Sequoiausher {

/** A configuration with its lookup tables. */
class RouteTable
{
public:
    explicit RouteTable(GatewayConfiguration configuration);
    ~RouteTable();
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const GatewayConfiguration &configuration() const;
    /**
     * Finds the route of the host with the longest prefix of the path; nullptr where no route matches.
     * @param host in any case, with or without a port.
     */
    const GatewayRoute *find(std::string_view host, std::string_view pathAndQuery) const;
    /** The organisation that owns the key; nullptr where none does. */
    const GatewayOrganisation *organisationOf(std::string_view key) const;
    /** Whether requests on routes that are not public need a key. */
    bool needsKeys() const;
    /** The service of that name; nullptr where there is none. */
    const GatewayService *service(const PoolId &name) const;

    /** Chooses the route's service for the request by the services' weights; the same service for the same hash. */
    static const PoolId &chooseService(const GatewayRoute &route, std::uint64_t hash);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
