#ifndef CHALKWAY_WIRE_H
#define CHALKWAY_WIRE_H
/*
    chalkway_wire.h -- messages between daemons, as msgpack

    WHAT IT IS
        Each message has a typed struct and one function that lists its
        fields; the same function counts, packs and unpacks them. A message
        is a msgpack array: its type, then its fields. Missing fields at the
        end are read as zero and unknown fields at the end are ignored, so
        that versions can be mixed during an upgrade. Over TCP each message
        is a frame: the length of the array in four bytes, big-endian, then
        the array. Over UDP each datagram is one gossip message.

    HOW TO USE IT
            cw_wire_t* wire = cw_wire_setup(NULL);
            cw_bytes_t frame = cw_wire_encode_frame(wire, &msg);     // valid until the next call
            cw_status_t s = cw_wire_decode(wire, bytes, len, &msg, &err);

    WHAT IT DOES NOT DO
        No sockets. Grant lists and document chunks in a decoded message
        point into the decoder and are valid until the next decode.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_member.h"
#include "chalkway_quarantine.h"
#include "chalkway_shard.h"

#define CW_WIRE_VERSION 2
#define CW_FRAME_MAX (2U << 20) /* bytes of one frame; has room for a document of 1 MiB with its key */
#define CW_FRAME_HEADER 4       /* bytes of the length in front of a frame's body */
#define CW_GRANT_LIST_MAX 4096  /* grants in one grant list */
#define CW_CHUNK_MAX 256        /* documents in one chunk */

typedef enum cw_msg_type_t {
    CW_MSG_NONE = 0,
    CW_MSG_HELLO, /* identifies the sender of a connection */
    CW_MSG_SLOT_REQUEST,
    CW_MSG_CANCEL, /* cancels a slot request */
    CW_MSG_ACTION, /* action of a shard for an entry: grant, refuse, preempt, resync, queued */
    CW_MSG_GRANT_RELEASE,
    CW_MSG_GRANT_DIGEST,   /* digest of the grants that an entry holds */
    CW_MSG_GRANT_LIST,     /* the grants that an entry holds, with their digest */
    CW_MSG_DOCUMENT_PULL,  /* asks for all documents after a revision */
    CW_MSG_DOCUMENT_CHUNK, /* some of the documents that were asked for */
    CW_MSG_TUNNEL_OPEN,    /* asks the receiver to connect to a server and to forward all further bytes */
    CW_MSG_TUNNEL_REPLY,   /* whether it did */
    CW_MSG_OBSERVATION,    /* of a crashed server, for the quarantine (chalkway_quarantine.h) */
    CW_MSG_TYPE_COUNT
} cw_msg_type_t;

typedef struct cw_hello_t {
    uint32_t version;
    uint64_t host;
    char cluster[CW_NAME_MAX];
} cw_hello_t;

/* Identifies the host that asks for a tunnel, and the server, by the key of its incarnation. */
typedef struct cw_tunnel_open_t {
    uint64_t host;
    uint64_t server;
    char cluster[CW_NAME_MAX];
    bool accepts_frames; /* the host reads frames (chalkway_tunnel_frame.h); hosts of earlier versions don't */
} cw_tunnel_open_t;

typedef enum cw_tunnel_result_t {
    CW_TUNNEL_OPENED = 0,
    CW_TUNNEL_SERVER_UNREACHABLE, /* the receiver can't connect to the server either */
    CW_TUNNEL_REFUSED,            /* the receiver opens no tunnel to this server now, or none at all */
    CW_TUNNEL_RESULT_COUNT
} cw_tunnel_result_t;

typedef struct cw_tunnel_reply_t {
    cw_tunnel_result_t result;
    bool is_framed; /* the server's bytes will come in frames */
} cw_tunnel_reply_t;

/* One document in a chunk; value NULL: it was deleted. */
typedef struct cw_document_t {
    const char* key;
    const char* value;
    int64_t revision;
} cw_document_t;

typedef struct cw_document_chunk_t {
    int64_t revision; /* if last is set: revision up to which the sender's documents are complete */
    bool last;        /* no more chunks follow */
    uint32_t count;
    cw_document_t items[CW_CHUNK_MAX];
} cw_document_chunk_t;

typedef struct cw_msg_t {
    cw_msg_type_t type;
    uint64_t shard; /* slot request, cancel, action, grant release, digest, grant list */
    union {
        cw_hello_t hello;
        cw_slot_request_t slot_request;
        uint32_t cancel_seq;
        struct {
            cw_shard_action_t action;
            uint32_t wait_ms; /* estimated wait at the shard, by which entries choose one */
        };
        cw_grant_release_t grant_release;
        struct {
            cw_grant_digest_t digest;
            uint32_t held_count;   /* grant list */
            cw_held_grant_t* held; /* grant list */
        };
        int64_t pull_since;
        cw_tunnel_open_t tunnel_open;
        cw_tunnel_reply_t tunnel_reply;
        cw_quarantine_observation_t observation;
        cw_document_chunk_t chunk;
    };
} cw_msg_t;

typedef struct cw_bytes_t {
    const uint8_t* data;
    size_t size;
} cw_bytes_t;

typedef struct cw_wire_t cw_wire_t;

cw_wire_t* cw_wire_setup(const cw_allocator_t* allocator);
void cw_wire_shutdown(cw_wire_t* wire);
/* Encodes a message as a frame with its length; valid until the next call. */
cw_bytes_t cw_wire_encode_frame(cw_wire_t* wire, const cw_msg_t* msg);
/* Decodes the body of a frame, without its length. Returns CW_ERR_PROTOCOL when it is not a valid message. */
cw_status_t cw_wire_decode(cw_wire_t* wire, const uint8_t* body, size_t size, cw_msg_t* msg, cw_error_t* err);
/* Length of a frame's body, read from the frame's first four bytes. */
uint32_t cw_wire_body_size(const uint8_t header[CW_FRAME_HEADER]);
/* Decodes a frame that nothing follows yet. size: of the bytes received so far. CW_ERR_FULL: the frame is incomplete.
   CW_ERR_PROTOCOL: it is invalid, its body is longer than max_body bytes, or further bytes follow. */
cw_status_t cw_wire_decode_single_frame(cw_wire_t* wire, const void* bytes, size_t size, size_t max_body,
                                        cw_msg_t* msg);
/* Encodes a gossip message as a datagram; valid until the next call. */
cw_bytes_t cw_wire_encode_datagram(cw_wire_t* wire, const char* cluster, const cw_gossip_t* gossip);
/* Decodes a datagram. Returns CW_ERR_PROTOCOL when it is not a valid message or comes from another cluster. */
cw_status_t cw_wire_decode_datagram(cw_wire_t* wire, const char* cluster, const uint8_t* data, size_t size,
                                    cw_gossip_t* gossip, cw_error_t* err);

#endif /* CHALKWAY_WIRE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_WIRE_IMPL_INCLUDED
#define CHALKWAY_WIRE_IMPL_INCLUDED

#include <msgpack.h>
#include <string.h>

struct cw_wire_t {
    cw_allocator_t allocator;
    msgpack_sbuffer buffer;
    msgpack_zone zone;
    cw_held_grant_t held[CW_GRANT_LIST_MAX];
};

typedef enum _cw_io_mode_t { _CW_IO_COUNT, _CW_IO_PACK, _CW_IO_UNPACK } _cw_io_mode_t;

/* Visitor of a message's fields that counts, packs or unpacks them. */
typedef struct _cw_io_t {
    _cw_io_mode_t mode;
    uint32_t at; /* counting: fields so far; unpacking: index of the next field */
    msgpack_packer packer;
    const msgpack_object_array* in;
    bool is_invalid;
} _cw_io_t;

static const msgpack_object* _cw_io_next(_cw_io_t* io) {
    uint32_t at = io->at++;
    return (at < io->in->size) ? &io->in->ptr[at] : NULL;
}

static uint64_t _cw_io_uint(_cw_io_t* io, uint64_t value) {
    if (io->mode == _CW_IO_COUNT) {
        io->at++;
    } else if (io->mode == _CW_IO_PACK) {
        msgpack_pack_uint64(&io->packer, value);
    } else {
        const msgpack_object* o = _cw_io_next(io);
        if (!o) {
            return 0;
        }
        io->is_invalid = io->is_invalid || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER;
        return o->via.u64;
    }
    return value;
}

static void _cw_io_u64(_cw_io_t* io, uint64_t* field) {
    *field = _cw_io_uint(io, *field);
}

static void _cw_io_i64(_cw_io_t* io, int64_t* field) {
    *field = (int64_t)_cw_io_uint(io, (uint64_t)*field);
}

static void _cw_io_u32(_cw_io_t* io, uint32_t* field) {
    uint64_t value = _cw_io_uint(io, *field);
    io->is_invalid = io->is_invalid || value > UINT32_MAX;
    *field = (uint32_t)value;
}

static void _cw_io_u8(_cw_io_t* io, uint8_t* field) {
    uint64_t value = _cw_io_uint(io, *field);
    io->is_invalid = io->is_invalid || value > UINT8_MAX;
    *field = (uint8_t)value;
}

static void _cw_io_bool(_cw_io_t* io, bool* field) {
    *field = _cw_io_uint(io, *field ? 1 : 0) != 0;
}

static void _cw_io_string(_cw_io_t* io, char* field, size_t size) {
    if (io->mode == _CW_IO_COUNT) {
        io->at++;
    } else if (io->mode == _CW_IO_PACK) {
        msgpack_pack_str_with_body(&io->packer, field, strlen(field));
    } else {
        const msgpack_object* o = _cw_io_next(io);
        field[0] = 0;
        if (!o) {
            return;
        }
        if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
            io->is_invalid = true;
            return;
        }
        if (o->via.str.size) {
            memcpy(field, o->via.str.ptr, o->via.str.size);
        }
        field[o->via.str.size] = 0;
    }
}

/* Binary data of at most max bytes, packed as a string, which earlier versions skip; size is 0 if the field is
   missing. */
static void _cw_io_bytes(_cw_io_t* io, uint8_t* field, uint32_t max, uint32_t* size) {
    if (io->mode == _CW_IO_COUNT) {
        io->at++;
    } else if (io->mode == _CW_IO_PACK) {
        msgpack_pack_str_with_body(&io->packer, field, *size);
    } else {
        const msgpack_object* o = _cw_io_next(io);
        bool fits = o && o->type == MSGPACK_OBJECT_STR && o->via.str.size <= max;
        io->is_invalid = io->is_invalid || (o && !fits);
        *size = fits ? o->via.str.size : 0;
        if (*size) {
            memcpy(field, o->via.str.ptr, *size);
        }
    }
}

/* An enum value below count. */
static uint32_t _cw_io_enum(_cw_io_t* io, uint32_t value, uint32_t count) {
    uint64_t read = _cw_io_uint(io, value);
    if (read >= count) {
        io->is_invalid = true;
        return 0;
    }
    return (uint32_t)read;
}

/* -- fields of each message ----------------------------------------------- */

static void _cw_fields_hello(_cw_io_t* io, cw_hello_t* h) {
    _cw_io_u32(io, &h->version);
    _cw_io_u64(io, &h->host);
    _cw_io_string(io, h->cluster, sizeof(h->cluster));
    io->is_invalid = io->is_invalid || (io->mode == _CW_IO_UNPACK && !h->host);
}

static void _cw_fields_tunnel_open(_cw_io_t* io, cw_tunnel_open_t* open) {
    _cw_io_u64(io, &open->host);
    _cw_io_u64(io, &open->server);
    _cw_io_string(io, open->cluster, sizeof(open->cluster));
    io->is_invalid = io->is_invalid || (io->mode == _CW_IO_UNPACK && (!open->host || !open->server));
    _cw_io_bool(io, &open->accepts_frames);
}

static void _cw_fields_tunnel_reply(_cw_io_t* io, cw_tunnel_reply_t* reply) {
    reply->result = (cw_tunnel_result_t)_cw_io_enum(io, reply->result, CW_TUNNEL_RESULT_COUNT);
    _cw_io_bool(io, &reply->is_framed);
}

static void _cw_fields_observation(_cw_io_t* io, cw_quarantine_observation_t* o) {
    o->kind = (cw_quarantine_observation_kind_t)_cw_io_enum(io, o->kind, CW_OBSERVED_COUNT);
    _cw_io_u64(io, &o->suspect.workspace);
    _cw_io_u64(io, &o->suspect.content_hash);
    _cw_io_u64(io, &o->incarnation);
    _cw_io_u32(io, &o->pool);
    _cw_io_u32(io, &o->version);
    o->phase = (cw_run_phase_t)_cw_io_enum(io, o->phase, CW_RUN_PHASE_COUNT);
    _cw_io_bool(io, &o->is_known);
    _cw_io_u32(io, &o->age_ms);
}

static void _cw_fields_slot_request(_cw_io_t* io, cw_slot_request_t* slot_request) {
    _cw_io_u32(io, &slot_request->seq);
    _cw_io_u8(io, &slot_request->tier);
    _cw_io_u8(io, &slot_request->flags);
    _cw_io_u32(io, &slot_request->weight);
    _cw_io_u64(io, &slot_request->workspace);
    _cw_io_u32(io, &slot_request->cost);
    _cw_io_u32(io, &slot_request->est_ms);
    _cw_io_u32(io, &slot_request->queue_ms);
    _cw_io_u32(io, &slot_request->remaining_ms);
    _cw_io_u64(io, &slot_request->prefix);
    _cw_io_u64(io, &slot_request->exclude);
    _cw_io_u64(io, &slot_request->hall);
    _cw_io_u32(io, &slot_request->high_est_ms);
    _cw_io_u64(io, &slot_request->version);
    io->is_invalid = io->is_invalid || (io->mode == _CW_IO_UNPACK && (!slot_request->seq || !slot_request->workspace ||
                                                                      slot_request->tier >= CW_TIERS));
}

static void _cw_fields_action(_cw_io_t* io, cw_shard_action_t* a) {
    a->kind = (cw_shard_action_kind_t)_cw_io_enum(io, a->kind, CW_SHARD_QUEUED + 1);
    _cw_io_u32(io, &a->seq);
    _cw_io_u64(io, &a->grant);
    _cw_io_u64(io, &a->upstream);
    _cw_io_u32(io, &a->queued_ms);
    _cw_io_u32(io, &a->ttl_ms);
    a->refusal = (cw_refusal_t)_cw_io_enum(io, a->refusal, CW_REFUSED_COUNT);
    _cw_io_u32(io, &a->retry_after_ms);
}

static void _cw_fields_grant_release(_cw_io_t* io, cw_grant_release_t* release) {
    _cw_io_u64(io, &release->grant);
    release->result = (cw_pick_result_t)_cw_io_enum(io, release->result, CW_PICK_CANCELLED + 1);
    _cw_io_u32(io, &release->took_ms);
    _cw_io_u32(io, &release->cost);
}

static void _cw_fields_grant_digest(_cw_io_t* io, cw_grant_digest_t* digest) {
    _cw_io_u64(io, &digest->last);
    _cw_io_u64(io, &digest->ids_xor);
    _cw_io_u32(io, &digest->count);
}

static void _cw_fields_held_grant(_cw_io_t* io, cw_held_grant_t* held) {
    _cw_io_u64(io, &held->grant);
    _cw_io_u64(io, &held->upstream);
    _cw_io_u64(io, &held->workspace);
    _cw_io_u32(io, &held->seq);
    _cw_io_u32(io, &held->cost);
    _cw_io_u8(io, &held->tier);
    _cw_io_u8(io, &held->flags);
    io->is_invalid = io->is_invalid || (io->mode == _CW_IO_UNPACK && (!held->grant || !held->workspace));
}

static void _cw_fields_member(_cw_io_t* io, cw_member_info_t* i) {
    _cw_io_u64(io, &i->incarnation);
    i->state = (cw_member_state_t)_cw_io_enum(io, i->state, CW_MEMBER_STATE_COUNT);
    _cw_io_bool(io, &i->leaving);
    _cw_io_u32(io, &i->link_mbps);
    _cw_io_string(io, i->name, sizeof(i->name));
    _cw_io_string(io, i->hall, sizeof(i->hall));
    _cw_io_string(io, i->peer, sizeof(i->peer));
    _cw_io_string(io, i->http, sizeof(i->http));
    if (io->mode == _CW_IO_UNPACK) {
        i->id = cw_name_id(i->name);
        io->is_invalid = io->is_invalid || !i->name[0];
    }
}

#define _CW_HELD_GRANT_FIELDS 7

static void _cw_fields_grant_list(_cw_io_t* io, cw_msg_t* msg, cw_held_grant_t* held_buffer) {
    _cw_fields_grant_digest(io, &msg->digest);
    _cw_io_u32(io, &msg->held_count);
    if (io->mode == _CW_IO_UNPACK) {
        msg->held = held_buffer;
        if (msg->held_count > CW_GRANT_LIST_MAX ||
            io->at + (uint64_t)msg->held_count * _CW_HELD_GRANT_FIELDS > io->in->size) {
            io->is_invalid = true;
            msg->held_count = 0;
        }
    }
    for (uint32_t i = 0; i < msg->held_count; i++) {
        _cw_fields_held_grant(io, &msg->held[i]);
    }
}

/* Keys and values of a chunk are not copied: they point into the decoder, so each is packed with a terminating zero. */
static void _cw_io_borrowed_string(_cw_io_t* io, const char** text) {
    if (io->mode == _CW_IO_COUNT) {
        io->at++;
    } else if (io->mode == _CW_IO_PACK) {
        if (*text) {
            msgpack_pack_str_with_body(&io->packer, *text, strlen(*text) + 1);
        } else {
            msgpack_pack_nil(&io->packer);
        }
    } else {
        const msgpack_object* o = _cw_io_next(io);
        *text = NULL;
        if (o && o->type == MSGPACK_OBJECT_STR && o->via.str.size && !o->via.str.ptr[o->via.str.size - 1]) {
            *text = o->via.str.ptr;
        } else if (!o || o->type != MSGPACK_OBJECT_NIL) {
            io->is_invalid = true;
        }
    }
}

static void _cw_fields_document_chunk(_cw_io_t* io, cw_document_chunk_t* c) {
    _cw_io_i64(io, &c->revision);
    _cw_io_bool(io, &c->last);
    _cw_io_u32(io, &c->count);
    if (c->count > CW_CHUNK_MAX) {
        io->is_invalid = true;
        c->count = 0;
    }
    for (uint32_t i = 0; i < c->count; i++) {
        _cw_io_borrowed_string(io, &c->items[i].key);
        _cw_io_borrowed_string(io, &c->items[i].value);
        _cw_io_i64(io, &c->items[i].revision);
        io->is_invalid = io->is_invalid || (io->mode == _CW_IO_UNPACK && !c->items[i].key);
    }
}

static void _cw_fields_msg(_cw_io_t* io, cw_msg_t* msg, cw_held_grant_t* held_buffer) {
    msg->type = (cw_msg_type_t)_cw_io_enum(io, msg->type, CW_MSG_TYPE_COUNT);
    bool is_for_shard = msg->type >= CW_MSG_SLOT_REQUEST && msg->type <= CW_MSG_GRANT_LIST;
    if (is_for_shard) {
        _cw_io_u64(io, &msg->shard);
    }
    switch (msg->type) {
        case CW_MSG_HELLO:
            _cw_fields_hello(io, &msg->hello);
            break;
        case CW_MSG_SLOT_REQUEST:
            _cw_fields_slot_request(io, &msg->slot_request);
            break;
        case CW_MSG_CANCEL:
            _cw_io_u32(io, &msg->cancel_seq);
            break;
        case CW_MSG_ACTION:
            _cw_fields_action(io, &msg->action);
            _cw_io_u32(io, &msg->wait_ms);
            break;
        case CW_MSG_GRANT_RELEASE:
            _cw_fields_grant_release(io, &msg->grant_release);
            break;
        case CW_MSG_GRANT_DIGEST:
            _cw_fields_grant_digest(io, &msg->digest);
            break;
        case CW_MSG_GRANT_LIST:
            _cw_fields_grant_list(io, msg, held_buffer);
            break;
        case CW_MSG_DOCUMENT_PULL:
            _cw_io_i64(io, &msg->pull_since);
            break;
        case CW_MSG_DOCUMENT_CHUNK:
            _cw_fields_document_chunk(io, &msg->chunk);
            break;
        case CW_MSG_TUNNEL_OPEN:
            _cw_fields_tunnel_open(io, &msg->tunnel_open);
            break;
        case CW_MSG_TUNNEL_REPLY:
            _cw_fields_tunnel_reply(io, &msg->tunnel_reply);
            break;
        case CW_MSG_OBSERVATION:
            _cw_fields_observation(io, &msg->observation);
            break;
        default:
            io->is_invalid = true;
            break;
    }
}

/* A summary is packed as two bytes per bucket, little-endian; a number of buckets that is not a power of two is
   refused. */
static void _cw_fields_summary(_cw_io_t* io, cw_summary_t* s) {
    uint8_t bytes[2 * CW_SUMMARY_MAX_BUCKETS];
    uint32_t size = 2 * s->buckets;
    for (size_t i = 0; i < s->buckets; i++) {
        bytes[2 * i] = (uint8_t)s->sums[i];
        bytes[2 * i + 1] = (uint8_t)(s->sums[i] >> 8U);
    }
    _cw_io_bytes(io, bytes, sizeof(bytes), &size);
    bool is_power_of_two = !(size / 2 & (size / 2 - 1));
    io->is_invalid = io->is_invalid || size % 2 || !is_power_of_two;
    s->buckets = io->is_invalid ? 0 : size / 2;
    for (size_t i = 0; i < s->buckets; i++) {
        s->sums[i] = (uint16_t)(bytes[2 * i] | bytes[2 * i + 1] << 8U);
    }
}

static void _cw_fields_gossip(_cw_io_t* io, cw_gossip_t* g, char* cluster) {
    _cw_io_string(io, cluster, CW_NAME_MAX);
    g->kind = (cw_gossip_kind_t)_cw_io_enum(io, g->kind, CW_GOSSIP_UPDATE + 1);
    _cw_io_u32(io, &g->seq);
    _cw_io_bool(io, &g->join);
    _cw_io_u64(io, &g->target);
    _cw_io_i64(io, &g->revision);
    _cw_io_u32(io, &g->free_capacity);
    _cw_io_u64(io, &g->view_hash);
    _cw_fields_member(io, &g->from);
    _cw_io_u32(io, &g->update_count);
    if (g->update_count > CW_GOSSIP_MAX_UPDATES) {
        io->is_invalid = true;
        g->update_count = 0;
    }
    for (uint32_t i = 0; i < g->update_count; i++) {
        _cw_fields_member(io, &g->updates[i]);
    }
    _cw_fields_summary(io, &g->summary);
    /* At the end, so that hosts of earlier versions can read the rest. */
    _cw_io_u32(io, &g->from.unreachable_pools);
    for (uint32_t i = 0; i < g->update_count; i++) {
        _cw_io_u32(io, &g->updates[i].unreachable_pools);
    }
}

/* -- frames --------------------------------------------------------------- */

cw_wire_t* cw_wire_setup(const cw_allocator_t* allocator) {
    cw_wire_t* wire = cw_alloc(allocator, 1, sizeof(*wire));
    if (allocator) {
        wire->allocator = *allocator;
    }
    msgpack_sbuffer_init(&wire->buffer);
    msgpack_zone_init(&wire->zone, 8192);
    return wire;
}

void cw_wire_shutdown(cw_wire_t* wire) {
    cw_allocator_t a = wire->allocator;
    msgpack_sbuffer_destroy(&wire->buffer);
    msgpack_zone_destroy(&wire->zone);
    cw_free(&a, wire);
}

static _cw_io_t _cw_wire_begin_array(cw_wire_t* wire, uint32_t fields) {
    _cw_io_t io = {.mode = _CW_IO_PACK};
    msgpack_packer_init(&io.packer, &wire->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&io.packer, fields);
    return io;
}

cw_bytes_t cw_wire_encode_frame(cw_wire_t* wire, const cw_msg_t* msg) {
    cw_msg_t copy = *msg;
    _cw_io_t counter = {.mode = _CW_IO_COUNT};
    _cw_fields_msg(&counter, &copy, NULL);
    msgpack_sbuffer_clear(&wire->buffer);
    msgpack_sbuffer_write(&wire->buffer, "\0\0\0\0", CW_FRAME_HEADER);
    _cw_io_t io = _cw_wire_begin_array(wire, counter.at);
    _cw_fields_msg(&io, &copy, NULL);
    uint32_t body = (uint32_t)(wire->buffer.size - CW_FRAME_HEADER);
    for (uint32_t i = 0; i < CW_FRAME_HEADER; i++) {
        wire->buffer.data[i] = (char)(body >> (24 - 8 * i));
    }
    return (cw_bytes_t){.data = (const uint8_t*)wire->buffer.data, .size = wire->buffer.size};
}

uint32_t cw_wire_body_size(const uint8_t header[CW_FRAME_HEADER]) {
    return ((uint32_t)header[0] << 24) | ((uint32_t)header[1] << 16) | ((uint32_t)header[2] << 8) | header[3];
}

cw_status_t cw_wire_decode_single_frame(cw_wire_t* wire, const void* bytes, size_t size, size_t max_body,
                                        cw_msg_t* msg) {
    if (size < CW_FRAME_HEADER) {
        return CW_ERR_FULL;
    }
    size_t body_size = cw_wire_body_size(bytes);
    if (!body_size || body_size > max_body || size > CW_FRAME_HEADER + body_size) {
        return CW_ERR_PROTOCOL;
    }
    if (size < CW_FRAME_HEADER + body_size) {
        return CW_ERR_FULL;
    }
    return cw_wire_decode(wire, (const uint8_t*)bytes + CW_FRAME_HEADER, body_size, msg, NULL);
}

/* Reads a big-endian integer of size bytes. */
static uint64_t _cw_wire_read_big_endian(const uint8_t* at, size_t size) {
    uint64_t value = 0;
    for (size_t i = 0; i < size; i++) {
        value = value << 8 | at[i];
    }
    return value;
}

/* Size of one field, including its type byte; 0 when it is not an unsigned integer, a string or nil, or when it exceeds
   the available bytes. */
static size_t _cw_wire_field_size(const uint8_t* at, size_t available) {
    uint8_t type = at[0];
    size_t length_size = 0;
    size_t size = 1;
    if (type <= 0x7f || type == 0xc0) { /* positive fixint, nil */
        size = 1;
    } else if (type >= 0xcc && type <= 0xcf) { /* uint of 1, 2, 4, 8 bytes */
        size = 1 + ((size_t)1 << (type - 0xcc));
    } else if (type >= 0xa0 && type <= 0xbf) { /* fixstr */
        size = 1 + (size_t)(type & 0x1f);
    } else if (type >= 0xd9 && type <= 0xdb) { /* str with a length of 1, 2, 4 bytes */
        length_size = (size_t)1 << (type - 0xd9);
        size = available > length_size ? 1 + length_size + _cw_wire_read_big_endian(at + 1, length_size) : 0;
    } else {
        size = 0;
    }
    return size <= available ? size : 0;
}

/* Whether the bytes start with a flat array that has all elements that its head announces. The library allocates by
   the head alone, so without this check a message of a few bytes could make it allocate gigabytes. */
static bool _cw_wire_is_flat(const uint8_t* data, size_t size) {
    size_t head = 0;
    uint64_t count = 0;
    if (size && (data[0] & 0xf0) == 0x90) {
        head = 1;
        count = data[0] & 0x0f;
    } else if (size >= 3 && data[0] == 0xdc) {
        head = 3;
        count = _cw_wire_read_big_endian(data + 1, 2);
    } else if (size >= 5 && data[0] == 0xdd) {
        head = 5;
        count = _cw_wire_read_big_endian(data + 1, 4);
    } else {
        return false;
    }
    size_t at = head;
    for (uint64_t i = 0; i < count; i++) {
        size_t field = at < size ? _cw_wire_field_size(data + at, size - at) : 0;
        if (!field) {
            return false;
        }
        at += field;
    }
    return true;
}

static cw_status_t _cw_wire_unpack_array(cw_wire_t* wire, const uint8_t* data, size_t size, msgpack_object* root,
                                         cw_error_t* err) {
    size_t at = 0;
    msgpack_zone_clear(&wire->zone);
    if (!_cw_wire_is_flat(data, size) ||
        msgpack_unpack((const char*)data, size, &at, &wire->zone, root) != MSGPACK_UNPACK_SUCCESS ||
        root->type != MSGPACK_OBJECT_ARRAY) {
        return cw_fail(err, CW_ERR_PROTOCOL, "decode", NULL, "%zu bytes are not a flat msgpack array", size);
    }
    return CW_OK;
}

cw_status_t cw_wire_decode(cw_wire_t* wire, const uint8_t* body, size_t size, cw_msg_t* msg, cw_error_t* err) {
    msgpack_object root;
    cw_status_t status = _cw_wire_unpack_array(wire, body, size, &root, err);
    if (status != CW_OK) {
        return status;
    }
    _cw_io_t io = {.mode = _CW_IO_UNPACK, .in = &root.via.array};
    memset(msg, 0, sizeof(*msg)); /* fields that the message lacks must be zero, not those of an earlier message */
    _cw_fields_msg(&io, msg, wire->held);
    if (io.is_invalid) {
        return cw_fail(err, CW_ERR_PROTOCOL, "decode", NULL, "message of type %d has an invalid field", (int)msg->type);
    }
    return CW_OK;
}

cw_bytes_t cw_wire_encode_datagram(cw_wire_t* wire, const char* cluster, const cw_gossip_t* gossip) {
    cw_gossip_t copy = *gossip;
    char name[CW_NAME_MAX];
    cw_copy(name, sizeof(name), cluster);
    _cw_io_t counter = {.mode = _CW_IO_COUNT};
    _cw_fields_gossip(&counter, &copy, name);
    msgpack_sbuffer_clear(&wire->buffer);
    _cw_io_t io = _cw_wire_begin_array(wire, counter.at);
    _cw_fields_gossip(&io, &copy, name);
    return (cw_bytes_t){.data = (const uint8_t*)wire->buffer.data, .size = wire->buffer.size};
}

cw_status_t cw_wire_decode_datagram(cw_wire_t* wire, const char* cluster, const uint8_t* data, size_t size,
                                    cw_gossip_t* gossip, cw_error_t* err) {
    msgpack_object root;
    cw_status_t status = _cw_wire_unpack_array(wire, data, size, &root, err);
    if (status != CW_OK) {
        return status;
    }
    _cw_io_t io = {.mode = _CW_IO_UNPACK, .in = &root.via.array};
    char name[CW_NAME_MAX];
    memset(gossip, 0, sizeof(*gossip));
    _cw_fields_gossip(&io, gossip, name);
    if (io.is_invalid) {
        return cw_fail(err, CW_ERR_PROTOCOL, "decode", gossip->from.peer, "gossip message has an invalid field");
    }
    if (strcmp(name, cluster) != 0) {
        return cw_fail(err, CW_ERR_PROTOCOL, "decode", gossip->from.peer, "gossip message of another cluster, \"%s\"",
                       name);
    }
    return CW_OK;
}

#endif /* CHALKWAY_WIRE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
