#pragma once

// One version of a gateway's configuration, made searchable. Immutable: a request keeps the table that it was routed
// by.
//
//     const RouteTable table(configuration);
//     const GatewayRoute *route = table.find("plates.example", "/orders/17?full=1");
//     const GatewayOrganisation *caller = table.organisationOf(key);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <memory>
#include <string_view>

namespace Sequoiausher {

/** A searchable configuration. */
class RouteTable
{
public:
    explicit RouteTable(GatewayConfiguration configuration);
    ~RouteTable();
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const GatewayConfiguration &configuration() const;
    /**
     * Of the routes of host, the one with the longest prefix that begins the path; nullptr where none does.
     * @param host in any case, with or without a port. @param target path and query.
     */
    const GatewayRoute *find(std::string_view host, std::string_view target) const;
    /** Whose key it is; nullptr where nobody's. */
    const GatewayOrganisation *organisationOf(std::string_view key) const;
    /** Whether requests on routes that are not public need a key. */
    bool needsKeys() const;
    /** nullptr where there is none of that name. */
    const GatewayService *service(const PoolId &name) const;

    /** Which of the route's services takes the request, by their weights; the same for the same hash. */
    static const PoolId &chooseService(const GatewayRoute &route, std::uint64_t hash);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
