#include "sequoiausher/coordination/gateway/routetable.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** Returns the host in lower case without its port. */
std::string normaliseHost(std::string_view host)
{
    std::string normalised(host.substr(0, host.find(':')));
    std::transform(
        normalised.begin(), normalised.end(), normalised.begin(), [](unsigned char c) { return std::tolower(c); });
    return normalised;
}

} // namespace

class RouteTable::Private
{
public:
    explicit Private(GatewayConfiguration newConfiguration) : configuration(std::move(newConfiguration))
    {
        for (const GatewayRoute &route : this->configuration.routes) {
            this->byHost[normaliseHost(route.host)].emplace(route.pathPrefix, &route);
        }
        for (const GatewayOrganisation &organisation : this->configuration.organisations) {
            for (const std::string &key : organisation.keys) {
                this->byKey.emplace(key, &organisation);
            }
        }
        for (const GatewayService &service : this->configuration.services) {
            this->byName.emplace(service.name.value, &service);
        }
    }

    using ByPrefix = std::unordered_map<std::string, const GatewayRoute *>;

    GatewayConfiguration configuration;
    std::unordered_map<std::string, ByPrefix> byHost;
    std::unordered_map<std::string, const GatewayOrganisation *> byKey;
    std::unordered_map<std::string, const GatewayService *> byName;
};

RouteTable::RouteTable(GatewayConfiguration configuration) : d(std::make_unique<Private>(std::move(configuration)))
{
}

RouteTable::~RouteTable() = default;

const GatewayConfiguration &RouteTable::configuration() const
{
    return this->d->configuration;
}

const GatewayRoute *RouteTable::find(std::string_view host, std::string_view pathAndQuery) const
{
    const auto routes = this->d->byHost.find(normaliseHost(host));
    if (routes == this->d->byHost.end()) {
        return nullptr;
    }
    // Path prefixes end with a slash, so only a beginning of the path that ends with one can match. Tries the longest
    // first.
    const std::string_view path = pathAndQuery.substr(0, pathAndQuery.find('?'));
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const GatewayOrganisation *RouteTable::organisationOf(std::string_view key) const
{
    const auto found = this->d->byKey.find(std::string(key));
    return found != this->d->byKey.end() ? found->second : nullptr;
}

bool RouteTable::needsKeys() const
{
    return this->d->configuration.listsOrganisations || !this->d->configuration.organisations.empty();
}

const GatewayService *RouteTable::service(const PoolId &name) const
{
    const auto found = this->d->byName.find(name.value);
    return found != this->d->byName.end() ? found->second : nullptr;
}

const PoolId &RouteTable::chooseService(const GatewayRoute &route, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    std::uint64_t position = total > 0 ? hash % total : 0;
    for (const ServiceShare &share : route.services) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.services.front().service;
}

} // namespace Sequoiausher
