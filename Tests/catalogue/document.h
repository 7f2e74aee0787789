#pragma once

#include <string_view>

namespace cyclamenledge::tests {

/// A small valid catalogue. Tests replace parts of it.
inline constexpr std::string_view valid_catalogue = R"(rules: 1
revision: 7
failure_domains:
  - {name: north-a, region: North}
  - {name: south-a, region: South, state: out_of_service}
services:
  - name: wording
    owner: text-team
    kind: generation
    placement: {model: lantern, version: "3", adapters: [fijian], minimum_warm: 1}
    default_output_tokens: 300
  - name: orders
    owner: shop-team
    kind: plain
    call_rules:
      - {method: GET, path_prefix: /stock, semantics: idempotent}
      - {method: POST, path_prefix: /, semantics: non_idempotent}
    key_owners:
      - {from: "2026-11-01T00:00:00Z", targets: [orders-1]}
      - {from: "2026-12-01T00:00:00Z", targets: [orders-1, orders-2]}
    key_lifetime: 24 h
targets:
  - {name: wording-1, service: wording, failure_domain: north-a, vm: vm-1, agent_address: "127.0.0.1:9001", memory_tokens: 50000}
  - {name: orders-1, service: orders, failure_domain: north-a, vm: vm-2, agent_address: "127.0.0.1:9002"}
  - {name: orders-2, service: orders, failure_domain: south-a, vm: vm-3, agent_address: "[::1]:9003", fencing: checked}
entries:
  - {name: entry-1, failure_domain: north-a, vm: vm-4, peer_address: "127.0.0.1:9004"}
service_classes:
  - name: interactive
    owner: text-team
    goal: token_gap
    token_gap_target: 49 ms
    admission_quantile: 0.8
    queue_deadline: 5 s
organisations:
  - name: head
    owner: sales
    service_class: interactive
    bearer_key_sha256: "1111111111111111111111111111111111111111111111111111111111111111"
    services: [wording, orders]
    limits: {requests_per_second: 10, concurrent_requests: 20, tokens_per_second: 1000}
  - name: branch
    owner: sales
    head_office: head
    service_class: interactive
    bearer_key_sha256: "2222222222222222222222222222222222222222222222222222222222222222"
    services: [wording]
    limits: {requests_per_second: 5, concurrent_requests: 10, tokens_per_second: 500}
    stretch: 0.5
)";

} // namespace cyclamenledge::tests
