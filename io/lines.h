#ifndef CW_IO_LINES_H
#define CW_IO_LINES_H
/*
    Lines to a descriptor that may be slow or never read: what it does not take at once waits in a buffer of fixed size,
    and when that is full lines are left out and counted. Nothing ever waits for the reader.
*/
#include <ev.h>

#include "buffer.h"

typedef struct cw_lines_t {
    struct ev_loop* loop;
    int fd;
    size_t max_bytes;
    cw_buffer_t out;
    ev_io write_io;
    ev_prepare prepare;
    unsigned long lost;      /* lines left out since the last cw_lines_take_lost */
    unsigned long lost_ever; /* since setup */
} cw_lines_t;

/* Makes the descriptor non-blocking. */
void cw_lines_setup(cw_lines_t* lines, struct ev_loop* loop, int fd, size_t max_bytes);
/* Adds a line; its end is added. */
void cw_lines_add(cw_lines_t* lines, const char* text);
/* Lines left out since the last call. */
unsigned long cw_lines_take_lost(cw_lines_t* lines);
/* Writes what the descriptor takes now and stops. */
void cw_lines_shutdown(cw_lines_t* lines);

#endif
