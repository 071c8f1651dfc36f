#ifndef CHALKWAY_LOAD_H
#define CHALKWAY_LOAD_H
/*
    chalkway_load.h -- datagram with a host's load reports

    WHAT IT IS
        Each datagram is one msgpack array: version, cluster, sender, the
        sender's source state with its age, the forwarding scope, quarantine
        observations (chalkway_quarantine.h) and a list of entries. An entry
        is the complete current load of one host, the sender or another one,
        at one server, so the next datagram makes up for a lost one. It may
        also list prompt parts that were just sent to the server.

    HOW TO USE IT
            size_t n = cw_load_encode(&message, bytes, sizeof(bytes));
            if (cw_load_decode(&message, bytes, n, &err) == CW_OK) { ... }

    WHAT IT DOES NOT DO
        It has no sockets and does not schedule datagrams.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_balance.h"
#include "chalkway_quarantine.h"

#define CW_LOAD_VERSION 10      /* changes when older receivers would misread an entry; other versions are rejected */
#define CW_LOAD_ENTRIES 24      /* most entries in a datagram */
#define CW_LOAD_OBSERVATIONS 48 /* most quarantine observations in a datagram, which then has no entries */
#define CW_LOAD_PARTS 4         /* most prompt parts in an entry */
#define CW_LOAD_BYTES 5120      /* largest datagram, with all entries in use */

/* Hosts to which the receiver forwards the entries. */
typedef enum cw_load_scope_t {
    CW_LOAD_NO_RELAY = 0,  /* none */
    CW_LOAD_RELAY_TO_HALL, /* the others of its hall */
    CW_LOAD_RELAY_TO_ALL,  /* the others of its hall and one host of each other hall */
    CW_LOAD_SCOPE_COUNT
} cw_load_scope_t;

typedef struct cw_load_entry_t {
    uint64_t host; /* the host that causes the load */
    uint64_t server;
    bool leaving; /* the server announced in a response that it is leaving */
    cw_load_t load;
    uint32_t part_count;
    cw_prompt_part_t parts[CW_LOAD_PARTS];
} cw_load_entry_t;

/* The configuration and list of servers that a host has from the source. The age of each counts from the time at
   which it was last confirmed to be current at the source. */
typedef struct cw_source_state_t {
    uint64_t revision; /* of the active configuration, 0: none */
    uint64_t servers;  /* id of the active list of servers, 0: none */
    uint32_t revision_age_ms;
    uint32_t servers_age_ms;
} cw_source_state_t;

typedef struct cw_load_message_t {
    uint64_t cluster;               /* id of the cluster's name */
    uint64_t host;                  /* the sender */
    cw_source_state_t source_state; /* the sender's */
    cw_load_scope_t scope;
    uint32_t observation_count;
    cw_quarantine_observation_t observations[CW_LOAD_OBSERVATIONS];
    uint32_t count;
    cw_load_entry_t entries[CW_LOAD_ENTRIES];
} cw_load_message_t;

/* Adds ms to both ages. A received state was current when it was sent, so its transit time has to be added: otherwise
   hosts that confirm each other's state would keep its age low forever. */
void cw_source_state_add_age(cw_source_state_t* source_state, uint32_t ms);
/* Heartbeat interval of the host with this rank among the live ones: the longest time between two of its datagrams.
   The first ranks poll the source and send often. The others only repeat the source state, and since every host
   receives every other one's datagrams, their interval grows with the fleet. */
uint32_t cw_load_heartbeat_interval_ms(uint32_t rank, uint32_t live);
/* Writes the datagram; returns its size, 0 when it does not fit. */
size_t cw_load_encode(const cw_load_message_t* message, uint8_t* out, size_t size);
cw_status_t cw_load_decode(cw_load_message_t* message, const uint8_t* data, size_t size, cw_error_t* err);

#endif /* CHALKWAY_LOAD_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_LOAD_IMPL_INCLUDED
#define CHALKWAY_LOAD_IMPL_INCLUDED

#include <msgpack.h>
#include <string.h>

#define _CW_LOAD_HEARTBEAT_MS 100    /* of the first ranks, and of all hosts in a small fleet */
#define _CW_LOAD_HEARTBEAT_STEP_MS 8 /* of the other hosts, for each live host */
#define _CW_LOAD_FIRST_RANKS 3
#define _CW_LOAD_HEAD_FIELDS 9 /* fields before the entries; the last one is the array of quarantine observations */
#define _CW_LOAD_OBSERVATION_FIELDS 9 /* numbers of an observation */
#define _CW_LOAD_ID_FIELDS 2          /* first fields of an entry: the host, 0 for the sender, and the server */
#define _CW_LOAD_ENTRY_FIELDS 15      /* fixed fields of an entry; the last one is the urgency bits of its backlogs */
#define _CW_LOAD_RATE_FIELDS 2        /* numbers of a server's rate: its value and its age */
#define _CW_LOAD_REJECT_FIELDS 3      /* numbers of a limit on rejections: its value, its age and the rejections */
#define _CW_LOAD_LEAVING 1U           /* flags of an entry */
#define _CW_LOAD_RATE_ADVERTISED 2U
#define _CW_LOAD_RATE_WITHDRAWN 4U
#define _CW_LOAD_REJECT_LIMIT 16U
#define _CW_LOAD_TOKENS 8U /* the backlogs are in tokens (cw_load_unit_t) */
/* Longer backlogs, in either unit, are sent as this value, which is longer than any request waits. */
#define _CW_LOAD_BACKLOG_MAX UINT16_MAX

uint32_t cw_load_heartbeat_interval_ms(uint32_t rank, uint32_t live) {
    uint32_t fleet_ms = live * _CW_LOAD_HEARTBEAT_STEP_MS;
    return rank < _CW_LOAD_FIRST_RANKS || fleet_ms < _CW_LOAD_HEARTBEAT_MS ? _CW_LOAD_HEARTBEAT_MS : fleet_ms;
}

static uint32_t _cw_load_add_age(uint32_t age_ms, uint32_t ms) {
    return age_ms < UINT32_MAX - ms ? age_ms + ms : UINT32_MAX;
}

void cw_source_state_add_age(cw_source_state_t* source_state, uint32_t ms) {
    source_state->revision_age_ms = _cw_load_add_age(source_state->revision_age_ms, ms);
    source_state->servers_age_ms = _cw_load_add_age(source_state->servers_age_ms, ms);
}

/* Computes the backlog, in the load's unit, that each urgency's prompts add to that of the more urgent ones. Only
   urgencies that add any, usually few, are encoded. Returns their number; bit i of urgency_bits is set when urgency i
   adds a backlog. */
static uint32_t _cw_load_backlog(const cw_load_t* load, uint32_t added[CW_URGENCY_LEVELS], uint32_t* urgency_bits) {
    uint32_t count = 0;
    uint32_t before = 0;
    *urgency_bits = 0;
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        uint32_t total = load->backlog_ms[i] < _CW_LOAD_BACKLOG_MAX ? load->backlog_ms[i] : _CW_LOAD_BACKLOG_MAX;
        if (total > before) {
            added[count++] = total - before;
            *urgency_bits |= 1U << i;
            before = total;
        }
    }
    return count;
}

static uint32_t _cw_load_flags(const cw_load_entry_t* e) {
    return (e->leaving ? _CW_LOAD_LEAVING : 0U) | (e->load.rate == CW_RATE_ADVERTISED ? _CW_LOAD_RATE_ADVERTISED : 0U) |
           (e->load.rate == CW_RATE_WITHDRAWN ? _CW_LOAD_RATE_WITHDRAWN : 0U) |
           (e->load.has_reject_limit ? _CW_LOAD_REJECT_LIMIT : 0U) |
           (e->load.backlog_unit == CW_LOAD_UNIT_TOKENS ? _CW_LOAD_TOKENS : 0U);
}

static void _cw_load_pack_entry(msgpack_packer* p, const cw_load_entry_t* e, uint64_t sender) {
    uint32_t added[CW_URGENCY_LEVELS];
    uint32_t urgency_bits;
    uint32_t backlogs = _cw_load_backlog(&e->load, added, &urgency_bits);
    uint32_t rate_fields = e->load.rate ? _CW_LOAD_RATE_FIELDS : 0;
    uint32_t reject_fields = e->load.has_reject_limit ? _CW_LOAD_REJECT_FIELDS : 0;
    msgpack_pack_array(p, _CW_LOAD_ENTRY_FIELDS + rate_fields + reject_fields + backlogs + 2 * e->part_count);
    msgpack_pack_uint64(p, e->host == sender ? 0 : e->host);
    msgpack_pack_uint64(p, e->server);
    msgpack_pack_uint32(p, _cw_load_flags(e));
    msgpack_pack_uint32(p, e->load.running);
    msgpack_pack_uint32(p, e->load.streaming);
    msgpack_pack_uint32(p, e->load.gap_ms);
    msgpack_pack_uint32(p, e->load.longest_prompt_tokens);
    msgpack_pack_uint32(p, e->load.tokens);
    msgpack_pack_uint32(p, e->load.event_interval_us);
    msgpack_pack_uint32(p, e->load.pace_ns);
    msgpack_pack_uint32(p, e->load.longest_gap_ms);
    msgpack_pack_uint32(p, e->load.pending_units);
    msgpack_pack_uint32(p, e->load.failed_ago_ms);
    msgpack_pack_uint32(p, e->load.answered_ago_ms);
    msgpack_pack_uint32(p, urgency_bits);
    if (e->load.rate) {
        msgpack_pack_uint32(p, e->load.rate_per_ks);
        msgpack_pack_uint32(p, e->load.rate_ago_ms);
    }
    if (e->load.has_reject_limit) {
        msgpack_pack_uint32(p, e->load.reject_limit_per_s);
        msgpack_pack_uint32(p, e->load.reject_limit_ago_ms);
        msgpack_pack_uint32(p, e->load.rejections);
    }
    for (uint32_t i = 0; i < backlogs; i++) {
        msgpack_pack_uint32(p, added[i]);
    }
    for (uint32_t i = 0; i < e->part_count; i++) {
        msgpack_pack_uint64(p, e->parts[i].id);
        msgpack_pack_uint32(p, e->parts[i].tokens);
    }
}

/* Packs the observations as one flat array: kind, workspace, content, incarnation, pool, version, phase, known
   (0 or 1), age. */
static void _cw_load_pack_observations(msgpack_packer* p, const cw_load_message_t* message) {
    msgpack_pack_array(p, (size_t)_CW_LOAD_OBSERVATION_FIELDS * message->observation_count);
    for (uint32_t i = 0; i < message->observation_count; i++) {
        const cw_quarantine_observation_t* observation = &message->observations[i];
        msgpack_pack_uint32(p, observation->kind);
        msgpack_pack_uint64(p, observation->suspect.workspace);
        msgpack_pack_uint64(p, observation->suspect.content_hash);
        msgpack_pack_uint64(p, observation->incarnation);
        msgpack_pack_uint32(p, observation->pool);
        msgpack_pack_uint32(p, observation->version);
        msgpack_pack_uint32(p, observation->phase);
        msgpack_pack_uint32(p, observation->is_known);
        msgpack_pack_uint32(p, observation->age_ms);
    }
}

size_t cw_load_encode(const cw_load_message_t* message, uint8_t* out, size_t size) {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, _CW_LOAD_HEAD_FIELDS + message->count);
    msgpack_pack_uint32(&packer, CW_LOAD_VERSION);
    msgpack_pack_uint64(&packer, message->cluster);
    msgpack_pack_uint64(&packer, message->host);
    msgpack_pack_uint64(&packer, message->source_state.revision);
    msgpack_pack_uint64(&packer, message->source_state.servers);
    msgpack_pack_uint32(&packer, message->source_state.revision_age_ms);
    msgpack_pack_uint32(&packer, message->source_state.servers_age_ms);
    msgpack_pack_uint32(&packer, message->scope);
    _cw_load_pack_observations(&packer, message);
    for (uint32_t i = 0; i < message->count; i++) {
        _cw_load_pack_entry(&packer, &message->entries[i], message->host);
    }
    size_t written = buffer.size <= size ? buffer.size : 0;
    memcpy(out, buffer.data, written);
    msgpack_sbuffer_destroy(&buffer);
    return written;
}

static bool _cw_load_read_number(const msgpack_object_array* a, uint32_t at, uint64_t max, uint64_t* out) {
    if (at >= a->size || a->ptr[at].type != MSGPACK_OBJECT_POSITIVE_INTEGER || a->ptr[at].via.u64 > max) {
        return false;
    }
    *out = a->ptr[at].via.u64;
    return true;
}

/* Reads the backlogs that start at *at, and advances *at past them. */
static bool _cw_load_read_backlog(const msgpack_object_array* a, uint64_t urgency_bits, cw_load_t* load, uint32_t* at) {
    uint64_t total = 0;
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        uint64_t added = 0;
        if ((urgency_bits >> i & 1U) && !_cw_load_read_number(a, (*at)++, _CW_LOAD_BACKLOG_MAX, &added)) {
            return false;
        }
        total += added;
        load->backlog_ms[i] = (uint32_t)total;
    }
    return true;
}

/* Reads a server's rate that starts at *at, if the flags announce one, and advances *at past it. */
static bool _cw_load_read_rate(const msgpack_object_array* a, uint64_t flags, cw_load_t* load, uint32_t* at) {
    uint64_t per_ks = 0;
    uint64_t ago_ms = 0;
    load->rate = flags & _CW_LOAD_RATE_ADVERTISED  ? CW_RATE_ADVERTISED
                 : flags & _CW_LOAD_RATE_WITHDRAWN ? CW_RATE_WITHDRAWN
                                                   : CW_RATE_UNKNOWN;
    if (load->rate == CW_RATE_UNKNOWN) {
        return true;
    }
    if (!_cw_load_read_number(a, *at, UINT32_MAX, &per_ks) || !_cw_load_read_number(a, *at + 1, UINT32_MAX, &ago_ms)) {
        return false;
    }
    load->rate_per_ks = (uint32_t)per_ks;
    load->rate_ago_ms = (uint32_t)ago_ms;
    *at += _CW_LOAD_RATE_FIELDS;
    return true;
}

/* Reads a limit on rejections that starts at *at, if the flags announce one, and advances *at past it. */
static bool _cw_load_read_reject_limit(const msgpack_object_array* a, uint64_t flags, cw_load_t* load, uint32_t* at) {
    uint64_t v[_CW_LOAD_REJECT_FIELDS] = {0};
    load->has_reject_limit = (flags & _CW_LOAD_REJECT_LIMIT) != 0;
    for (uint32_t i = 0; load->has_reject_limit && i < _CW_LOAD_REJECT_FIELDS; i++) {
        if (!_cw_load_read_number(a, (*at)++, UINT32_MAX, &v[i])) {
            return false;
        }
    }
    load->reject_limit_per_s = (uint32_t)v[0];
    load->reject_limit_ago_ms = (uint32_t)v[1];
    load->rejections = (uint32_t)v[2];
    return true;
}

static bool _cw_load_read_entry(const msgpack_object* o, cw_load_entry_t* e, uint64_t sender) {
    uint64_t v[_CW_LOAD_ENTRY_FIELDS];
    *e = (cw_load_entry_t){0};
    if (o->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < _CW_LOAD_ENTRY_FIELDS; i++) {
        if (!_cw_load_read_number(&o->via.array, i, i < _CW_LOAD_ID_FIELDS ? UINT64_MAX : UINT32_MAX, &v[i])) {
            return false;
        }
    }
    e->host = v[0] ? v[0] : sender;
    e->server = v[1];
    e->leaving = v[2] & _CW_LOAD_LEAVING;
    bool is_tokens = v[2] & _CW_LOAD_TOKENS;
    e->load = (cw_load_t){.running = (uint32_t)v[3],
                          .streaming = (uint32_t)v[4],
                          .gap_ms = (uint32_t)v[5],
                          .longest_prompt_tokens = (uint32_t)v[6],
                          .tokens = (uint32_t)v[7],
                          .backlog_unit = is_tokens ? CW_LOAD_UNIT_TOKENS : CW_LOAD_UNIT_MS,
                          .event_interval_us = (uint32_t)v[8],
                          .pace_ns = (uint32_t)v[9],
                          .longest_gap_ms = (uint32_t)v[10],
                          .pending_units = (uint32_t)v[11],
                          .failed_ago_ms = (uint32_t)v[12],
                          .answered_ago_ms = (uint32_t)v[13]};
    uint32_t at = _CW_LOAD_ENTRY_FIELDS;
    if (!_cw_load_read_rate(&o->via.array, v[2], &e->load, &at) ||
        !_cw_load_read_reject_limit(&o->via.array, v[2], &e->load, &at) ||
        !_cw_load_read_backlog(&o->via.array, v[_CW_LOAD_ENTRY_FIELDS - 1], &e->load, &at)) {
        return false;
    }
    for (; at + 1 < o->via.array.size && e->part_count < CW_LOAD_PARTS; at += 2) {
        uint64_t tokens = 0;
        cw_prompt_part_t* part = &e->parts[e->part_count];
        if (!_cw_load_read_number(&o->via.array, at, UINT64_MAX, &part->id) ||
            !_cw_load_read_number(&o->via.array, at + 1, UINT32_MAX, &tokens)) {
            return false;
        }
        part->tokens = (uint32_t)tokens;
        e->part_count++;
    }
    return true;
}

static bool _cw_load_read_source_state(cw_source_state_t* source_state, const msgpack_object_array* a) {
    uint64_t revision_age_ms = 0;
    uint64_t servers_age_ms = 0;
    bool ok = _cw_load_read_number(a, 3, INT64_MAX, &source_state->revision) &&
              _cw_load_read_number(a, 4, UINT64_MAX, &source_state->servers) &&
              _cw_load_read_number(a, 5, UINT32_MAX, &revision_age_ms) &&
              _cw_load_read_number(a, 6, UINT32_MAX, &servers_age_ms);
    source_state->revision_age_ms = (uint32_t)revision_age_ms;
    source_state->servers_age_ms = (uint32_t)servers_age_ms;
    return ok;
}

static bool _cw_load_read_observations(cw_load_message_t* message, const msgpack_object* o) {
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % _CW_LOAD_OBSERVATION_FIELDS ||
        o->via.array.size / _CW_LOAD_OBSERVATION_FIELDS > CW_LOAD_OBSERVATIONS) {
        return false;
    }
    const msgpack_object_array* a = &o->via.array;
    for (uint32_t at = 0; at < a->size; at += _CW_LOAD_OBSERVATION_FIELDS) {
        cw_quarantine_observation_t* observation = &message->observations[message->observation_count++];
        uint64_t kind = 0;
        uint64_t pool = 0;
        uint64_t version = 0;
        uint64_t phase = 0;
        uint64_t is_known = 0;
        uint64_t age_ms = 0;
        if (!_cw_load_read_number(a, at, CW_OBSERVED_COUNT - 1, &kind) ||
            !_cw_load_read_number(a, at + 1, UINT64_MAX, &observation->suspect.workspace) ||
            !_cw_load_read_number(a, at + 2, UINT64_MAX, &observation->suspect.content_hash) ||
            !_cw_load_read_number(a, at + 3, UINT64_MAX, &observation->incarnation) ||
            !_cw_load_read_number(a, at + 4, UINT32_MAX, &pool) ||
            !_cw_load_read_number(a, at + 5, UINT32_MAX, &version) ||
            !_cw_load_read_number(a, at + 6, CW_RUN_PHASE_COUNT - 1, &phase) ||
            !_cw_load_read_number(a, at + 7, 1, &is_known) || !_cw_load_read_number(a, at + 8, UINT32_MAX, &age_ms)) {
            return false;
        }
        observation->kind = (cw_quarantine_observation_kind_t)kind;
        observation->pool = (uint32_t)pool;
        observation->version = (uint32_t)version;
        observation->phase = (cw_run_phase_t)phase;
        observation->is_known = is_known;
        observation->age_ms = (uint32_t)age_ms;
    }
    return true;
}

static bool _cw_load_read(cw_load_message_t* message, const msgpack_object* o) {
    uint64_t version = 0;
    uint64_t scope = 0;
    if (o->type != MSGPACK_OBJECT_ARRAY || !_cw_load_read_number(&o->via.array, 0, UINT32_MAX, &version) ||
        version != CW_LOAD_VERSION || !_cw_load_read_number(&o->via.array, 1, UINT64_MAX, &message->cluster) ||
        !_cw_load_read_number(&o->via.array, 2, UINT64_MAX, &message->host) ||
        !_cw_load_read_source_state(&message->source_state, &o->via.array) ||
        !_cw_load_read_number(&o->via.array, 7, CW_LOAD_SCOPE_COUNT - 1, &scope) ||
        o->via.array.size < _CW_LOAD_HEAD_FIELDS ||
        !_cw_load_read_observations(message, &o->via.array.ptr[_CW_LOAD_HEAD_FIELDS - 1])) {
        return false;
    }
    message->scope = (cw_load_scope_t)scope;
    for (uint32_t i = _CW_LOAD_HEAD_FIELDS; i < o->via.array.size && message->count < CW_LOAD_ENTRIES; i++) {
        if (!_cw_load_read_entry(&o->via.array.ptr[i], &message->entries[message->count++], message->host)) {
            return false;
        }
    }
    return true;
}

cw_status_t cw_load_decode(cw_load_message_t* message, const uint8_t* data, size_t size, cw_error_t* err) {
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t at = 0;
    message->count = 0;
    message->observation_count = 0;
    bool ok = msgpack_unpack_next(&unpacked, (const char*)data, size, &at) == MSGPACK_UNPACK_SUCCESS && at == size &&
              _cw_load_read(message, &unpacked.data);
    msgpack_unpacked_destroy(&unpacked);
    return ok ? CW_OK : cw_fail(err, CW_ERR_PROTOCOL, "load", NULL, "datagram of %zu bytes is not a load report", size);
}

#endif /* CHALKWAY_LOAD_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
