#pragma once

#include "libraries/configuration/change.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/digest.h"

#include <string>
#include <vector>

namespace wisterialane::configuration {

inline change put_limit(const std::string& name, double rate = 10)
{
    return put_object{limit{kernel::limit_name{name}, rate, 5}};
}

inline change put_customer(const std::string& name, const std::string& limit_name)
{
    return put_object{customer{kernel::customer_name{name}, kernel::limit_name{limit_name}, ""}};
}

inline change put_key(const std::string& name, const std::string& customer_name, const std::string& secret,
                      key_state state = key_state::active)
{
    return put_object{key{kernel::key_name{name}, kernel::customer_name{customer_name}, sha256_hex(secret), state}};
}

inline change put_service(const std::string& name)
{
    return put_object{service{kernel::service_name{name}, 50, exchange_echo::optional}};
}

inline change put_upstream(const std::string& name, const std::string& service_name)
{
    return put_object{upstream{kernel::upstream_name{name}, kernel::service_name{service_name},
                               kernel::socket_address{"127.0.0.1:8080"}, kernel::data_centre_name{"west"}, 2, 300,
                               upstream_state::active}};
}

inline change put_route(const std::string& name, const std::string& service_name, const std::string& prefix)
{
    return put_object{route{kernel::route_name{name}, kernel::service_name{service_name}, prefix, route_access::keyed,
                            route_semantics::idempotent, std::chrono::milliseconds{500}, 1000}};
}

inline change deletion(object_kind kind, const std::string& name)
{
    return delete_object{{kind, name}};
}

inline record next_record(const configuration_set& set, std::vector<change> changes,
                          const std::string& proposal = "proposal")
{
    return make_record(set.version(), set.hash(), kernel::proposal_id{proposal}, kernel::operator_name{"ada"},
                       std::move(changes), std::nullopt);
}

/// One object of each kind, all referring to one another where they can.
inline std::vector<change> sample_changes()
{
    return {put_limit("small"),          put_customer("acme", "small"),      put_key("acme-1", "acme", "one"),
            put_service("certificates"), put_upstream("c1", "certificates"), put_route("root", "certificates", "/")};
}

inline configuration_set sample_set()
{
    configuration_set set;
    (void)set.apply(next_record(set, sample_changes()));
    return set;
}

} // namespace wisterialane::configuration
