#ifndef CHALKWAY_PACKED_H
#define CHALKWAY_PACKED_H
/*
    chalkway_packed.h -- compact encoding of a list of servers

    WHAT IT IS
        The encoding in which a daemon sends its full list to a peer: a
        sequence of MessagePack values. Names of pools and halls are written
        once and referred to by index, addresses are written as integers,
        start times and revisions as differences from those of the first
        entry. An entry takes some 40 bytes, a fifth of its JSON form
        (chalkway_servers.h), and entries are decoded one by one, without a
        parse tree of the whole list. The recorded removals
        (chalkway_changes.h) are included, so that the receiver can serve
        deltas from as early a revision as the sender.

    HOW TO USE IT
            size_t size = 0;
            char* bytes = cw_packed_encode(&list, &changes, &size);    // free it with free()
            if (cw_packed_has_magic(bytes, size) &&
                cw_packed_decode(&list, &changes, bytes, size, &err) == CW_OK) { ... }

    WHAT IT DOES NOT DO
        It does not encode deltas: they are short and are sent as JSON, see
        chalkway_changes.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_changes.h"

/* Encodes the list and the removals; the caller frees the result with free(). */
char* cw_packed_encode(const cw_servers_t* list, const cw_changes_t* changes, size_t* size);
/* Whether the bytes begin with the magic string of the encoding. */
bool cw_packed_has_magic(const char* bytes, size_t size);
/* Decodes a list and its removals; one invalid value makes it refuse the whole list. The list and the changes must be
   empty. */
cw_status_t cw_packed_decode(cw_servers_t* list, cw_changes_t* changes, const char* bytes, size_t size,
                             cw_error_t* err);

#endif /* CHALKWAY_PACKED_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PACKED_IMPL_INCLUDED
#define CHALKWAY_PACKED_IMPL_INCLUDED

#include <arpa/inet.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define _CW_PACKED_MAGIC "chalkway-servers-2"
#define _CW_PACKED_MAGIC_1 "chalkway-servers-1" /* of hosts whose lists have no versions */
#define _CW_PACKED_ZONE_BYTES 256 /* chunk size of msgpack's zone allocator; integers and strings use none of it */

/* A table of names; entries refer to a name by its index. */
typedef struct _cw_packed_names_t {
    uint32_t count, capacity;
    char (*names)[CW_NAME_MAX];
} _cw_packed_names_t;

/* Index of the name, which is added if it is new. */
static uint32_t _cw_packed_name_index(_cw_packed_names_t* n, const char* name) {
    for (uint32_t i = 0; i < n->count; i++) {
        if (strcmp(n->names[i], name) == 0) {
            return i;
        }
    }
    if (n->count == n->capacity) {
        n->capacity = n->capacity ? n->capacity * 2 : 16;
        n->names = realloc(n->names, n->capacity * sizeof(*n->names));
        if (!n->names) {
            abort();
        }
    }
    cw_copy(n->names[n->count], CW_NAME_MAX, name);
    return n->count++;
}

/* IPv4 address and port as one integer, (ip << 16) | port; 0: not a valid address. */
static uint64_t _cw_packed_address_number(const char* text) {
    char ip[CW_SERVER_ADDRESS_MAX];
    struct in_addr parsed;
    cw_copy(ip, sizeof(ip), text);
    char* colon = strrchr(ip, ':');
    unsigned long port = colon ? strtoul(colon + 1, NULL, 10) : 0;
    if (!colon || !port || port > UINT16_MAX) {
        return 0;
    }
    *colon = 0;
    return inet_pton(AF_INET, ip, &parsed) == 1 ? (uint64_t)ntohl(parsed.s_addr) << 16U | port : 0;
}

/* -- encoding ------------------------------------------------------------- */

static void _cw_packed_put_string(msgpack_packer* p, const char* text) {
    msgpack_pack_str_with_body(p, text, strlen(text));
}

static void _cw_packed_put_names(msgpack_packer* p, const _cw_packed_names_t* n) {
    msgpack_pack_uint32(p, n->count);
    for (uint32_t i = 0; i < n->count; i++) {
        _cw_packed_put_string(p, n->names[i]);
    }
}

static void _cw_packed_put_closed_halls(msgpack_packer* p, const cw_closed_halls_t* closed) {
    msgpack_pack_int64(p, closed->at);
    msgpack_pack_uint32(p, closed->count);
    for (uint32_t i = 0; i < closed->count; i++) {
        _cw_packed_put_string(p, closed->halls[i]);
    }
}

static void _cw_packed_put_removals(msgpack_packer* p, const cw_changes_t* changes) {
    msgpack_pack_int64(p, changes->since);
    msgpack_pack_uint32(p, changes->count);
    for (uint32_t i = 0; i < changes->count; i++) {
        _cw_packed_put_string(p, changes->removed[i].id);
        msgpack_pack_int64(p, changes->removed[i].revision);
    }
}

static void _cw_packed_put_server(msgpack_packer* p, const cw_server_t* s, _cw_packed_names_t* pools,
                                  _cw_packed_names_t* halls, _cw_packed_names_t* versions, const cw_server_t* base) {
    _cw_packed_put_string(p, s->id);
    msgpack_pack_uint64(p, _cw_packed_address_number(s->address));
    msgpack_pack_uint32(p, _cw_packed_name_index(pools, s->pool));
    msgpack_pack_uint32(p, _cw_packed_name_index(halls, s->hall));
    msgpack_pack_uint32(p, s->slots);
    msgpack_pack_uint32(p, s->leaving);
    msgpack_pack_uint32(p, s->cold_ms);
    msgpack_pack_int64(p, s->started_ms - base->started_ms);
    msgpack_pack_int64(p, s->revision - base->revision);
    msgpack_pack_uint32(p, s->version[0] ? 1 + _cw_packed_name_index(versions, s->version) : 0);
}

char* cw_packed_encode(const cw_servers_t* list, const cw_changes_t* changes, size_t* size) {
    static const cw_server_t none = {.slots = 0};
    const cw_server_t* base = list->count ? &list->items[0] : &none;
    _cw_packed_names_t pools = {0};
    _cw_packed_names_t halls = {0};
    _cw_packed_names_t versions = {0};
    for (uint32_t i = 0; i < list->count; i++) {
        _cw_packed_name_index(&pools, list->items[i].pool);
        _cw_packed_name_index(&halls, list->items[i].hall);
        if (list->items[i].version[0]) {
            _cw_packed_name_index(&versions, list->items[i].version);
        }
    }
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    _cw_packed_put_string(&packer, _CW_PACKED_MAGIC);
    msgpack_pack_int64(&packer, list->at);
    msgpack_pack_uint32(&packer, list->age_ms);
    _cw_packed_put_closed_halls(&packer, &list->closed);
    _cw_packed_put_names(&packer, &pools);
    _cw_packed_put_names(&packer, &halls);
    _cw_packed_put_names(&packer, &versions);
    msgpack_pack_int64(&packer, base->started_ms);
    msgpack_pack_int64(&packer, base->revision);
    msgpack_pack_uint32(&packer, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        _cw_packed_put_server(&packer, &list->items[i], &pools, &halls, &versions, base);
    }
    _cw_packed_put_removals(&packer, changes);
    free(pools.names);
    free(halls.names);
    free(versions.names);
    *size = buffer.size;
    return msgpack_sbuffer_release(&buffer);
}

/* -- decoding ------------------------------------------------------------- */

typedef struct _cw_packed_input_t {
    const char* bytes;
    size_t size, at;
    msgpack_zone zone;
    bool is_invalid;
} _cw_packed_input_t;

/* Decodes the next value. Only integers and strings are accepted: for an array, the library would allocate as many
   elements as its head announces, before it reads them. */
static msgpack_object _cw_packed_next(_cw_packed_input_t* in) {
    uint8_t type = in->at < in->size ? (uint8_t)in->bytes[in->at] : 0xc0;
    bool is_scalar = type <= 0x7f || type >= 0xe0 || (type >= 0xa0 && type <= 0xbf) || (type >= 0xcc && type <= 0xd3) ||
                     (type >= 0xd9 && type <= 0xdb);
    msgpack_object o = {.type = MSGPACK_OBJECT_NIL};
    msgpack_unpack_return got = MSGPACK_UNPACK_PARSE_ERROR;
    if (!in->is_invalid && is_scalar) {
        got = msgpack_unpack(in->bytes, in->size, &in->at, &in->zone, &o); /* a string refers to the input bytes */
    }
    in->is_invalid = got != MSGPACK_UNPACK_SUCCESS && got != MSGPACK_UNPACK_EXTRA_BYTES;
    return o;
}

static int64_t _cw_packed_get_integer(_cw_packed_input_t* in, int64_t min, int64_t max) {
    msgpack_object o = _cw_packed_next(in);
    bool is_positive = o.type == MSGPACK_OBJECT_POSITIVE_INTEGER && o.via.u64 <= INT64_MAX;
    bool is_integer = is_positive || o.type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
    in->is_invalid = in->is_invalid || !is_integer || o.via.i64 < min || o.via.i64 > max;
    return in->is_invalid ? min : o.via.i64;
}

/* Decodes a name; it must be one that an entry can have. */
static void _cw_packed_get_name(_cw_packed_input_t* in, char* out) {
    msgpack_object o = _cw_packed_next(in);
    in->is_invalid = in->is_invalid || o.type != MSGPACK_OBJECT_STR || !o.via.str.size || o.via.str.size >= CW_NAME_MAX;
    uint32_t size = in->is_invalid ? 0 : o.via.str.size;
    memcpy(out, size ? o.via.str.ptr : "", size);
    out[size] = 0;
    in->is_invalid = in->is_invalid || strlen(out) != size || cw_server_name_fault(out);
}

static void _cw_packed_get_names(_cw_packed_input_t* in, _cw_packed_names_t* n) {
    char name[CW_NAME_MAX];
    int64_t count = _cw_packed_get_integer(in, 0, UINT32_MAX);
    for (int64_t i = 0; i < count && !in->is_invalid; i++) {
        _cw_packed_get_name(in, name);
        in->is_invalid = in->is_invalid || _cw_packed_name_index(n, name) != i; /* listed twice */
    }
}

static void _cw_packed_get_closed_halls(_cw_packed_input_t* in, cw_closed_halls_t* closed) {
    char name[CW_NAME_MAX];
    closed->at = _cw_packed_get_integer(in, 0, INT64_MAX);
    int64_t count = _cw_packed_get_integer(in, 0, CW_CLOSED_MAX);
    for (int64_t i = 0; i < count && !in->is_invalid; i++) {
        _cw_packed_get_name(in, name);
        in->is_invalid = in->is_invalid || !cw_closed_halls_add(closed, name);
    }
}

static void _cw_packed_get_address(_cw_packed_input_t* in, char* out) {
    uint64_t number = (uint64_t)_cw_packed_get_integer(in, 1, (INT64_C(1) << 48) - 1);
    struct in_addr ip = {.s_addr = htonl((uint32_t)(number >> 16U))};
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &ip, text, sizeof(text));
    snprintf(out, CW_SERVER_ADDRESS_MAX, "%s:%u", text, (unsigned)(number & UINT16_MAX));
    in->is_invalid = in->is_invalid || !(number & UINT16_MAX);
}

static void _cw_packed_get_server(_cw_packed_input_t* in, cw_server_t* s, const _cw_packed_names_t* pools,
                                  const _cw_packed_names_t* halls, const _cw_packed_names_t* versions,
                                  const cw_server_t* base) {
    _cw_packed_get_name(in, s->id);
    _cw_packed_get_address(in, s->address);
    int64_t pool = _cw_packed_get_integer(in, 0, (int64_t)pools->count - 1);
    int64_t hall = _cw_packed_get_integer(in, 0, (int64_t)halls->count - 1);
    s->slots = (uint32_t)_cw_packed_get_integer(in, 1, _CW_SLOTS_MAX);
    s->leaving = _cw_packed_get_integer(in, 0, 1) != 0;
    s->cold_ms = (uint32_t)_cw_packed_get_integer(in, 0, UINT32_MAX);
    s->started_ms = base->started_ms + _cw_packed_get_integer(in, -base->started_ms, INT64_MAX - base->started_ms);
    s->revision = base->revision + _cw_packed_get_integer(in, -base->revision, INT64_MAX - base->revision);
    int64_t version = versions ? _cw_packed_get_integer(in, 0, versions->count) : 0;
    if (!in->is_invalid && version) {
        cw_copy(s->version, sizeof(s->version), versions->names[version - 1]);
    }
    if (!in->is_invalid) {
        cw_copy(s->pool, sizeof(s->pool), pools->names[pool]);
        cw_copy(s->hall, sizeof(s->hall), halls->names[hall]);
    }
}

/* Decodes the removals, which must be sorted by revision. */
static void _cw_packed_get_removals(_cw_packed_input_t* in, cw_changes_t* changes) {
    changes->since = _cw_packed_get_integer(in, 0, INT64_MAX);
    int64_t count = _cw_packed_get_integer(in, 0, UINT32_MAX);
    int64_t last = changes->since;
    char id[CW_NAME_MAX];
    for (int64_t i = 0; i < count && !in->is_invalid; i++) {
        _cw_packed_get_name(in, id);
        last = _cw_packed_get_integer(in, last, INT64_MAX);
        if (!in->is_invalid) {
            cw_changes_add_removed(changes, id, last);
        }
    }
}

static bool _cw_packed_starts_with(const char* bytes, size_t size, const char* magic) {
    size_t length = strlen(magic);
    return size > length && (uint8_t)bytes[0] == (0xa0U | length) && memcmp(bytes + 1, magic, length) == 0;
}

bool cw_packed_has_magic(const char* bytes, size_t size) {
    return _cw_packed_starts_with(bytes, size, _CW_PACKED_MAGIC) ||
           _cw_packed_starts_with(bytes, size, _CW_PACKED_MAGIC_1);
}

cw_status_t cw_packed_decode(cw_servers_t* list, cw_changes_t* changes, const char* bytes, size_t size,
                             cw_error_t* err) {
    _cw_packed_input_t in = {
        .bytes = bytes, .size = size, .at = sizeof(_CW_PACKED_MAGIC), .is_invalid = !cw_packed_has_magic(bytes, size)};
    _cw_packed_names_t pools = {0};
    _cw_packed_names_t halls = {0};
    _cw_packed_names_t versions = {0};
    bool has_versions = _cw_packed_starts_with(bytes, size, _CW_PACKED_MAGIC);
    cw_server_t base = {.slots = 0};
    msgpack_zone_init(&in.zone, _CW_PACKED_ZONE_BYTES);
    list->at = _cw_packed_get_integer(&in, 0, INT64_MAX);
    list->age_ms = (uint32_t)_cw_packed_get_integer(&in, 0, UINT32_MAX);
    _cw_packed_get_closed_halls(&in, &list->closed);
    _cw_packed_get_names(&in, &pools);
    _cw_packed_get_names(&in, &halls);
    if (has_versions) {
        _cw_packed_get_names(&in, &versions);
    }
    base.started_ms = _cw_packed_get_integer(&in, 0, INT64_MAX);
    base.revision = _cw_packed_get_integer(&in, 0, INT64_MAX);
    int64_t count = _cw_packed_get_integer(&in, 0, UINT32_MAX);
    for (int64_t i = 0; i < count && !in.is_invalid; i++) {
        cw_server_t server = {.slots = 0};
        _cw_packed_get_server(&in, &server, &pools, &halls, has_versions ? &versions : NULL, &base);
        if (!in.is_invalid) {
            cw_servers_add(list, &server);
        }
    }
    _cw_packed_get_removals(&in, changes);
    free(pools.names);
    free(halls.names);
    free(versions.names);
    msgpack_zone_destroy(&in.zone);
    if (in.is_invalid || in.at != size) {
        cw_servers_free(list);
        cw_changes_free(changes);
        return cw_fail(err, CW_ERR_INVALID, "servers", NULL, "compact list of servers is invalid near byte %zu of %zu",
                       in.at, size);
    }
    return CW_OK;
}

#endif /* CHALKWAY_PACKED_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
