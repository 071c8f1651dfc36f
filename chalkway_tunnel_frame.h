#ifndef CHALKWAY_TUNNEL_FRAME_H
#define CHALKWAY_TUNNEL_FRAME_H
/*
    chalkway_tunnel_frame.h -- framing of a server's bytes in a tunnel

    WHAT IT IS
        A host that carries a tunnel forwards what the server sends in
        frames, and reports in a last frame how the server's connection ended.
        When a tunnel ends without that frame, its host has stopped, died or
        given up, and nothing is known about the server: a response that
        ends with its connection is not complete then.

        Each frame begins with four bytes, big-endian: the number of bytes
        that follow, or with the highest bit set a cw_tunnel_end_t.

    HOW TO USE IT
            uint8_t header[CW_TUNNEL_FRAME_HEADER];
            cw_tunnel_frame_begin(header, size);        // then the bytes
            cw_tunnel_frame_end(header, CW_TUNNEL_END_CLOSED);

            cw_tunnel_frames_t f = {0};
            while (size && !f.end) {
                cw_bytes_view_t bytes;
                size_t used = cw_tunnel_frames_read(&f, data, size, &bytes);
                ...
            }

    WHAT IT DOES NOT DO
        It does not buffer: the bytes of a frame are returned as they arrive.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_TUNNEL_FRAME_HEADER 4

/* How the server's connection ended. */
typedef enum cw_tunnel_end_t {
    CW_TUNNEL_END_NONE = 0, /* it has not */
    CW_TUNNEL_END_CLOSED,   /* closed by the server */
    CW_TUNNEL_END_RESET,    /* reset by the server */
    CW_TUNNEL_END_LOST      /* the server acknowledged nothing in time */
} cw_tunnel_end_t;

/* Reader of frames; zero-initialized. */
typedef struct cw_tunnel_frames_t {
    cw_tunnel_end_t end;
    /* private */
    uint32_t header, header_bytes; /* of the next frame, as far as received */
    uint32_t bytes_left;           /* of the current frame */
} cw_tunnel_frames_t;

/* Writes the header of a frame with size bytes, 1 to INT32_MAX. */
void cw_tunnel_frame_begin(uint8_t header[CW_TUNNEL_FRAME_HEADER], uint32_t size);
/* Writes the last frame. */
void cw_tunnel_frame_end(uint8_t header[CW_TUNNEL_FRAME_HEADER], cw_tunnel_end_t end);
/* Reads up to the end of a header or frame. Returns the number of bytes consumed; bytes is set to those of them that
   the server sent, size 0: none. An unknown end counts as CW_TUNNEL_END_LOST. Consumes nothing after the last frame. */
size_t cw_tunnel_frames_read(cw_tunnel_frames_t* f, const char* data, size_t size, cw_bytes_view_t* bytes);

#endif /* CHALKWAY_TUNNEL_FRAME_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_TUNNEL_FRAME_IMPL_INCLUDED
#define CHALKWAY_TUNNEL_FRAME_IMPL_INCLUDED

#define _CW_TUNNEL_END_BIT 0x80000000U

static void _cw_tunnel_write_header(uint8_t header[CW_TUNNEL_FRAME_HEADER], uint32_t value) {
    for (uint32_t i = 0; i < CW_TUNNEL_FRAME_HEADER; i++) {
        header[i] = (uint8_t)(value >> (24 - 8 * i));
    }
}

void cw_tunnel_frame_begin(uint8_t header[CW_TUNNEL_FRAME_HEADER], uint32_t size) {
    _cw_tunnel_write_header(header, size);
}

void cw_tunnel_frame_end(uint8_t header[CW_TUNNEL_FRAME_HEADER], cw_tunnel_end_t end) {
    _cw_tunnel_write_header(header, _CW_TUNNEL_END_BIT | (uint32_t)end);
}

static void _cw_tunnel_frames_on_header(cw_tunnel_frames_t* f) {
    uint32_t end = f->header & ~_CW_TUNNEL_END_BIT;
    if (!(f->header & _CW_TUNNEL_END_BIT)) {
        f->bytes_left = f->header;
    } else if (end == CW_TUNNEL_END_CLOSED || end == CW_TUNNEL_END_RESET) {
        f->end = (cw_tunnel_end_t)end;
    } else {
        f->end = CW_TUNNEL_END_LOST;
    }
    f->header = f->header_bytes = 0;
}

size_t cw_tunnel_frames_read(cw_tunnel_frames_t* f, const char* data, size_t size, cw_bytes_view_t* bytes) {
    *bytes = (cw_bytes_view_t){.data = data};
    if (f->end || !size) {
        return 0;
    }
    if (f->bytes_left) {
        bytes->size = size < f->bytes_left ? size : f->bytes_left;
        f->bytes_left -= (uint32_t)bytes->size;
        return bytes->size;
    }
    size_t used = 0;
    while (used < size && f->header_bytes < CW_TUNNEL_FRAME_HEADER) {
        f->header = f->header << 8 | (uint8_t)data[used++];
        f->header_bytes++;
    }
    if (f->header_bytes == CW_TUNNEL_FRAME_HEADER) {
        _cw_tunnel_frames_on_header(f);
    }
    return used;
}

#endif /* CHALKWAY_TUNNEL_FRAME_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
