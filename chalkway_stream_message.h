#ifndef CHALKWAY_STREAM_MESSAGE_H
#define CHALKWAY_STREAM_MESSAGE_H
/*
    chalkway_stream_message.h -- datagram about the software versions of streams

    WHAT IT IS
        One msgpack array: format, cluster, sender, forwarding scope, kind,
        and the entries as a flat list. Hosts announce to each other which version
        began a stream, and query streams that they do not know. Hosts of
        earlier versions of chalkway reject the datagram by its format.

    HOW TO USE IT
            size_t n = cw_stream_message_encode(&message, bytes, sizeof(bytes));
            if (cw_stream_message_decode(&message, bytes, n) == CW_OK) { ... }

    WHAT IT DOES NOT DO
        It has no sockets and does not schedule datagrams.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_load.h"
#include "chalkway_stream_registry.h"

#define CW_STREAM_MESSAGE_FORMAT 1001 /* differs from every CW_LOAD_VERSION */
#define CW_STREAM_ENTRIES 96          /* most entries of a datagram */
#define CW_STREAM_BYTES 4096          /* largest datagram */

typedef enum cw_stream_message_kind_t {
    CW_STREAM_ANNOUNCE = 0, /* the versions of these streams */
    CW_STREAM_QUERY,        /* the receiver is to reply what it knows of these streams */
    CW_STREAM_HANDOVER,     /* the receiver is to reply with a page of all that it knows, see chalkway_handover.h */
    CW_STREAM_PAGE,         /* such a page */
    CW_STREAM_INQUIRY,      /* the receiver is to reply what its engines have of these streams */
    CW_STREAM_EVIDENCE,     /* such a reply, see chalkway_stream_inquiry.h */
    CW_STREAM_KIND_COUNT
} cw_stream_message_kind_t;

/* Of CW_STREAM_HANDOVER and CW_STREAM_PAGE, the first entry is the head of the page: its cursor in stream, the next one
   in pool, 1 in version if it is the last page, known_ms in left_ms; see cw_handover_page_t. An entry of
   CW_STREAM_INQUIRY has in version what engines are searched for: the last part of the prompt, or the run; in left_ms
   the number of tokens or events of it at least, up to CW_STREAM_AMOUNT_MAX, the round from bit CW_STREAM_ROUND_BIT on,
   and the cw_stream_question_t from bit CW_STREAM_QUESTION_BIT on, which earlier releases take for a part of the round.
   Of a CW_STREAM_EVIDENCE, left_ms has a cw_stream_coverage_t, the round and the question, and pool the fingerprint of
   the sender's view of the fleet. */
#define CW_STREAM_ROUND_BIT 24U
#define CW_STREAM_QUESTION_BIT 30U
#define CW_STREAM_AMOUNT_MAX ((1U << CW_STREAM_ROUND_BIT) - 1U)
/* Length, in version, of a span that reaches back without end; see cw_stream_entry_t. */
#define CW_STREAM_SPAN_ENDLESS UINT64_MAX
typedef struct cw_stream_entry_t {
    uint64_t stream; /* 0 in a page: a version that has served in the pool, until left_ms ago. Pool 0, too: a span of
                        time, version long and over since left_ms, in which the sender doesn't know which versions
                        served; or, version 0, the sender's start */
    uint64_t pool;
    uint64_t version; /* 0: not known, and several versions have served; of CW_STREAM_QUERY: not used; of
                         CW_STREAM_EVIDENCE 0: none */
    uint32_t left_ms; /* time until the stream is forgotten */
} cw_stream_entry_t;

typedef struct cw_stream_message_t {
    uint64_t cluster, host; /* host: the sender */
    cw_load_scope_t scope;
    cw_stream_message_kind_t kind;
    uint32_t count;
    cw_stream_entry_t entries[CW_STREAM_ENTRIES];
} cw_stream_message_t;

/* Writes the datagram; returns its size, 0 when it does not fit. */
size_t cw_stream_message_encode(const cw_stream_message_t* message, uint8_t* out, size_t size);
/* CW_ERR_PROTOCOL: the bytes are no such datagram. */
cw_status_t cw_stream_message_decode(cw_stream_message_t* message, const uint8_t* data, size_t size);

#endif /* CHALKWAY_STREAM_MESSAGE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STREAM_MESSAGE_IMPL_INCLUDED
#define CHALKWAY_STREAM_MESSAGE_IMPL_INCLUDED

#include <msgpack.h>
#include <string.h>

#define _CW_STREAM_HEAD_FIELDS 5
#define _CW_STREAM_ENTRY_FIELDS 4

size_t cw_stream_message_encode(const cw_stream_message_t* message, uint8_t* out, size_t size) {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, _CW_STREAM_HEAD_FIELDS + (size_t)_CW_STREAM_ENTRY_FIELDS * message->count);
    msgpack_pack_uint32(&packer, CW_STREAM_MESSAGE_FORMAT);
    msgpack_pack_uint64(&packer, message->cluster);
    msgpack_pack_uint64(&packer, message->host);
    msgpack_pack_uint32(&packer, message->scope);
    msgpack_pack_uint32(&packer, message->kind);
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_stream_entry_t* entry = &message->entries[i];
        msgpack_pack_uint64(&packer, entry->stream);
        msgpack_pack_uint64(&packer, entry->pool);
        msgpack_pack_uint64(&packer, entry->version);
        msgpack_pack_uint32(&packer, entry->left_ms);
    }
    size_t written = buffer.size <= size ? buffer.size : 0;
    memcpy(out, buffer.data, written);
    msgpack_sbuffer_destroy(&buffer);
    return written;
}

static bool _cw_stream_message_read(cw_stream_message_t* m, const msgpack_object* o) {
    uint64_t head[_CW_STREAM_HEAD_FIELDS];
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < _CW_STREAM_HEAD_FIELDS) {
        return false;
    }
    const msgpack_object_array* a = &o->via.array;
    uint32_t numbers = a->size - _CW_STREAM_HEAD_FIELDS;
    for (uint32_t i = 0; i < a->size; i++) {
        if (a->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
    }
    for (uint32_t i = 0; i < _CW_STREAM_HEAD_FIELDS; i++) {
        head[i] = a->ptr[i].via.u64;
    }
    if (head[0] != CW_STREAM_MESSAGE_FORMAT || head[3] >= CW_LOAD_SCOPE_COUNT || head[4] >= CW_STREAM_KIND_COUNT ||
        numbers % _CW_STREAM_ENTRY_FIELDS || numbers / _CW_STREAM_ENTRY_FIELDS > CW_STREAM_ENTRIES) {
        return false;
    }
    *m = (cw_stream_message_t){.cluster = head[1],
                               .host = head[2],
                               .scope = (cw_load_scope_t)head[3],
                               .kind = (cw_stream_message_kind_t)head[4]};
    for (uint32_t at = _CW_STREAM_HEAD_FIELDS; at < a->size; at += _CW_STREAM_ENTRY_FIELDS) {
        uint64_t left_ms = a->ptr[at + 3].via.u64;
        m->entries[m->count++] = (cw_stream_entry_t){.stream = a->ptr[at].via.u64,
                                                     .pool = a->ptr[at + 1].via.u64,
                                                     .version = a->ptr[at + 2].via.u64,
                                                     .left_ms = left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX};
    }
    return true;
}

/* Bytes of the unsigned integer at the start of data; 0: there is none, or it is cut. */
static size_t _cw_stream_message_integer_size(const uint8_t* data, size_t size) {
    uint8_t type = size ? data[0] : 0xc0;
    size_t length = type <= 0x7f ? 1 : type == 0xcc ? 2 : type == 0xcd ? 3 : type == 0xce ? 5 : type == 0xcf ? 9 : 0;
    return length <= size ? length : 0;
}

/* Whether the bytes are a flat array of unsigned integers that begins with CW_STREAM_MESSAGE_FORMAT. Checked before
   they are parsed, since msgpack allocates as many elements as an array's head announces. */
static bool _cw_stream_message_is_flat(const uint8_t* data, size_t size) {
    static const uint8_t format[] = {0xcd, CW_STREAM_MESSAGE_FORMAT >> 8U, CW_STREAM_MESSAGE_FORMAT & 0xffU};
    size_t at = !size ? 0 : data[0] == 0xdc ? 3 : (data[0] & 0xf0U) == 0x90 ? 1 : 0;
    if (!at || size < at + sizeof(format) || memcmp(data + at, format, sizeof(format)) != 0) {
        return false;
    }
    uint32_t count = at == 3 ? (uint32_t)data[1] << 8U | data[2] : data[0] & 0x0fU;
    for (uint32_t i = 0; i < count; i++) {
        size_t length = _cw_stream_message_integer_size(data + at, size - at);
        if (!length) {
            return false;
        }
        at += length;
    }
    return at == size;
}

cw_status_t cw_stream_message_decode(cw_stream_message_t* message, const uint8_t* data, size_t size) {
    if (!_cw_stream_message_is_flat(data, size)) {
        return CW_ERR_PROTOCOL;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t at = 0;
    bool ok = msgpack_unpack_next(&unpacked, (const char*)data, size, &at) == MSGPACK_UNPACK_SUCCESS && at == size &&
              _cw_stream_message_read(message, &unpacked.data);
    msgpack_unpacked_destroy(&unpacked);
    return ok ? CW_OK : CW_ERR_PROTOCOL;
}

#endif /* CHALKWAY_STREAM_MESSAGE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
