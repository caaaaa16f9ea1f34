// Sample hosts and requests of the operators' platform.
#pragma once

#include "event.h"

#include <string>

namespace endivewharf {

/// Builds a host of a service; its data centre has the name of its zone.
inline HostRow sampleHost(const std::string &Name, const std::string &Service,
                          const std::string &Zone, std::uint64_t Incarnation) {
  HostRow Row;
  Row.Host_ = {Name, Incarnation};
  Row.Address_ = "http://10.1.1.1:80";
  Row.DataCentre_ = Zone;
  Row.Zone_ = Zone;
  Row.Kind_ = UpstreamKind::Service;
  Row.Service_ = Service;
  Row.Version_ = "v1";
  Row.Slots_ = 8;
  return Row;
}

/// Builds a routed request with a time limit of 15 s.
inline CallRequest sampleRequest(const std::string &Path,
                                 const std::string &Key,
                                 const std::string &Id) {
  CallRequest R;
  R.Kind_ = CallKind::Routed;
  R.Host_ = "shop.example";
  R.Method_ = "POST";
  R.Path_ = Path;
  R.ApiKey_ = Key;
  R.RequestId_ = Id;
  R.TimeLimit_ = 15000;
  R.MaxTokens_ = 0;
  return R;
}

} // namespace endivewharf
