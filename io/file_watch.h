#ifndef CW_IO_FILE_WATCH_H
#define CW_IO_FILE_WATCH_H
/* Notices that a file has changed, by its status. A file that is replaced by another one has changed, too. */
#include <stdbool.h>
#include <stdint.h>
#include <sys/stat.h>

typedef struct cw_file_watch_t {
    const char* path;
    struct stat status; /* when the file was last noted */
    int64_t checked_ms;
} cw_file_watch_t;

/* Notes the file's status: to be called before the file is read, so that a change during the reading is noticed. */
void cw_file_watch_note(cw_file_watch_t* w);
/* Whether the file differs from the one that was noted. Reads the status at most once in interval_ms. */
bool cw_file_watch_has_changed(cw_file_watch_t* w, int64_t now_ms, uint32_t interval_ms);

#endif
